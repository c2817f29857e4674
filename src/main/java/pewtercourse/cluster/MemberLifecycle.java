package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import pewtercourse.Log;
import pewtercourse.config.ClusterConfig;
import pewtercourse.raft.Saved;
import pewtercourse.raft.store.LogStore;
import pewtercourse.raft.store.StoreException;

/**
 * Opens the member's data folder, and reopens it with growing delays after a disk failure or an unexpected error.
 * Until then the member sends nothing, and the director continues with the committed state that it received last.
 *
 * <p>Mutable state: the current {@link RaftDriver}, the next reopening delay, the count of disk failures and whether
 * the member was closed. Event loop only, except {@link #openStore}, which runs on the storage thread.
 */
final class MemberLifecycle {
    private static final long SEGMENT_BYTES = 4L << 20;
    private static final long FIRST_REOPEN_DELAY_MS = 500;
    private static final long MAX_REOPEN_DELAY_MS = 8_000;

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final LeaseDriver leases;
    private final PendingProposals proposals;
    private final PendingReads reads;
    private RaftDriver driver; // Null until the data folder was first opened; kept after it was closed.
    private long reopenDelayMs = FIRST_REOPEN_DELAY_MS;
    private long diskFailures;
    private boolean closed;

    MemberLifecycle(MemberEnvironment environment, LeaseDriver leases, PendingProposals proposals, PendingReads reads) {
        this.environment = environment;
        this.config = environment.config();
        this.leases = leases;
        this.proposals = proposals;
        this.reads = reads;
    }

    /** Returns the driver while the data folder is open; otherwise empty. */
    Optional<RaftDriver> driver() {
        return Optional.ofNullable(driver).filter(RaftDriver::isOpen);
    }

    long diskFailures() {
        return diskFailures;
    }

    /**
     * Fails with a {@link StoreException} if the data folder must not be used, and also if the address can't be bound.
     */
    Future<Void> start() {
        Promise<Void> started = Promise.promise();
        leases.resetQuota();
        ExecutorService thread = StorageWorker.newThread();
        thread.execute(() -> openStore(thread, started));
        return started.future();
    }

    private void openStore(ExecutorService thread, Promise<Void> started) {
        LogStore store = null;
        try {
            store = LogStore.open(config.data(), config.cluster(), config.name(), SEGMENT_BYTES);
            Saved saved = store.recover();
            LogStore openedStore = store;
            environment
                    .loop()
                    .runOnContext(v -> onOpened(thread, openedStore, saved).onComplete(started));
        } catch (IOException | RuntimeException e) {
            closeAfter(e, store);
            thread.shutdown();
            environment.loop().runOnContext(v -> started.fail(e));
        }
    }

    private static void closeAfter(Exception failure, LogStore store) {
        if (store == null) {
            return;
        }
        try {
            store.close();
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    private Future<Void> onOpened(ExecutorService thread, LogStore store, Saved saved) {
        if (closed) {
            thread.execute(() -> closeQuietly(store));
            return Future.failedFuture("the member was closed while its data folder was opened");
        }
        StorageWorker storage = new StorageWorker(thread, environment.loop(), store, this::onSaved, this::onDiskFailed);
        leases.open();
        driver = new RaftDriver(environment, storage, saved, leases, reads, this::onUnexpectedError);
        reopenDelayMs = FIRST_REOPEN_DELAY_MS;
        return driver.start();
    }

    private static void closeQuietly(LogStore store) {
        try {
            store.close();
        } catch (IOException e) {
            // The member has ended: nothing is written any more, and the next start checks the folder.
        }
    }

    private void onSaved(long saveNumber) {
        driver.saved(saveNumber);
    }

    private void onDiskFailed(IOException e) {
        diskFailures++;
        Log.warn("cluster.disk_failed", "error", e);
        stop("the disk failed");
        reopen();
    }

    private void onUnexpectedError(RuntimeException e) {
        Log.error("cluster.unexpected", e);
        stop("an unexpected error: see the log");
        reopen();
    }

    private void reopen() {
        if (closed) {
            return;
        }
        // A random delay from half to one and a half times the base keeps members that failed together from reopening
        // at the same time.
        long delayMs = reopenDelayMs / 2 + (long) (environment.random().nextDouble() * reopenDelayMs);
        reopenDelayMs = Math.min(MAX_REOPEN_DELAY_MS, 2 * reopenDelayMs);
        environment
                .timers()
                .set(
                        delayMs,
                        () -> start().onFailure(e -> {
                            Log.warn("cluster.not_opened", "error", e);
                            reopen();
                        }));
    }

    private void stop(String reason) {
        driver.stop();
        proposals.failAll(reason);
        reads.failAll();
        driver.release();
        leases.resetQuota();
    }

    /** Stops the member: it sends and writes nothing more. */
    void close() {
        closed = true;
        if (driver().isPresent()) {
            stop("ending");
        }
    }
}
