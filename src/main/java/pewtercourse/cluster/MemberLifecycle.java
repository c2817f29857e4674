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
 * Opens the member's data folder, and opens it again with growing delays after the disk failed or an unexpected error.
 * In between the member is silent, while the director serves on by what was agreed last.
 *
 * <p>Mutable state: the present {@link RaftDriver}, the next reopening delay, the count of disk failures and whether the
 * member was closed. Event loop only, but for {@link #openStore}, which runs on the storage thread.
 */
final class MemberLifecycle {
    private static final long SEGMENT_BYTES = 4L << 20;
    private static final long REOPEN_FIRST_MS = 500;
    private static final long REOPEN_MAX_MS = 8_000;

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final LeaseDriver leases;
    private final PendingProposals proposals;
    private final PendingReads reads;
    private RaftDriver driver; // Null until the folder was first opened; kept after it was closed.
    private long reopenDelayMs = REOPEN_FIRST_MS;
    private long diskFailures;
    private boolean closed;

    MemberLifecycle(MemberEnvironment environment, LeaseDriver leases, PendingProposals proposals, PendingReads reads) {
        this.environment = environment;
        this.config = environment.config();
        this.leases = leases;
        this.proposals = proposals;
        this.reads = reads;
    }

    /** Present while the data folder is open. */
    Optional<RaftDriver> driver() {
        return Optional.ofNullable(driver).filter(RaftDriver::isOpen);
    }

    long diskFailures() {
        return diskFailures;
    }

    /** Fails with a {@link StoreException} where the folder must not be used, or when it can't listen. */
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
            LogStore opened = store;
            environment.loop().runOnContext(v -> opened(thread, opened, saved).onComplete(started));
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

    private Future<Void> opened(ExecutorService thread, LogStore store, Saved saved) {
        if (closed) {
            thread.execute(() -> closeQuietly(store));
            return Future.failedFuture("ended meanwhile");
        }
        StorageWorker storage = new StorageWorker(thread, environment.loop(), store, this::saved, this::diskFailed);
        leases.open();
        driver = new RaftDriver(environment, storage, saved, leases, reads, this::unexpectedError);
        reopenDelayMs = REOPEN_FIRST_MS;
        return driver.start();
    }

    private static void closeQuietly(LogStore store) {
        try {
            store.close();
        } catch (IOException e) {
            // The member has ended: nobody writes there any more, and the next start checks what it finds.
        }
    }

    private void saved(long number) {
        driver.saved(number);
    }

    private void diskFailed(IOException e) {
        diskFailures++;
        Log.warn("cluster.disk_failed", "error", e);
        stop("the disk failed");
        reopen();
    }

    private void unexpectedError(RuntimeException e) {
        Log.error("cluster.unexpected", e);
        stop("an error");
        reopen();
    }

    private void reopen() {
        if (closed) {
            return;
        }
        // From half of it to one and a half times: members that failed together don't all come back at once.
        long delayMs = reopenDelayMs / 2 + (long) (environment.random().nextDouble() * reopenDelayMs);
        reopenDelayMs = Math.min(REOPEN_MAX_MS, 2 * reopenDelayMs);
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

    /** Ends the member. Nothing more is sent or written. */
    void close() {
        closed = true;
        if (driver().isPresent()) {
            stop("ending");
        }
    }
}
