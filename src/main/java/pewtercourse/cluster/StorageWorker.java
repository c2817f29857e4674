package pewtercourse.cluster;

import io.vertx.core.Context;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import pewtercourse.raft.Save;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.store.LogStore;

/**
 * Writes to the {@link LogStore} on a thread of its own, one batch at a time: saves requested during a write form the
 * next batch, which is synced once. After an error nothing more is written; the recipient of {@code onFailure} closes
 * the worker.
 *
 * <p>Mutable state: the waiting saves and snapshot, and whether a write is in progress or has failed. It is confined
 * to the event loop; the storage thread uses only the store.
 */
final class StorageWorker {
    private final ExecutorService thread;
    private final Context loop;
    private final LogStore store;
    private final LongConsumer onSaved;
    private final Consumer<IOException> onFailure;
    private final List<Save> waitingSaves = new ArrayList<>();
    private Snapshot snapshot; // Null if no snapshot waits or is being written.
    private Consumer<Snapshot> onSnapshotWritten;
    private boolean writing;
    private boolean stopped;
    private boolean lastWriteWasSaves;

    /**
     * Creates a worker for an open store. It must be called on {@code loop}, where the callbacks run as well.
     *
     * @param onSaved   receives the number of the last save that is on disk
     * @param onFailure receives the first error
     */
    StorageWorker(
            ExecutorService thread,
            Context loop,
            LogStore store,
            LongConsumer onSaved,
            Consumer<IOException> onFailure) {
        this.thread = thread;
        this.loop = loop;
        this.store = store;
        this.onSaved = onSaved;
        this.onFailure = onFailure;
    }

    static ExecutorService newThread() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "cluster-disk");
            thread.setDaemon(true);
            return thread;
        });
    }

    void save(Save save) {
        waitingSaves.add(save);
        writeNext();
    }

    /**
     * Writes a snapshot, alternating with the saves; {@code onWritten} receives it once it is on disk. Ignored while
     * another snapshot waits or is being written.
     */
    void snapshot(Snapshot newSnapshot, Consumer<Snapshot> onWritten) {
        if (snapshot != null || stopped) {
            return;
        }
        snapshot = newSnapshot;
        onSnapshotWritten = onWritten;
        writeNext();
    }

    private void writeNext() {
        if (writing || stopped || waitingSaves.isEmpty() && snapshot == null) {
            return;
        }
        writing = true;
        // Saves and snapshots alternate, so that neither delays the other indefinitely.
        boolean isSnapshotTurn = snapshot != null && (waitingSaves.isEmpty() || lastWriteWasSaves);
        lastWriteWasSaves = !isSnapshotTurn;
        try {
            if (isSnapshotTurn) {
                writeSnapshot(snapshot);
            } else {
                List<Save> batch = List.copyOf(waitingSaves);
                waitingSaves.clear();
                writeBatch(batch);
            }
        } catch (RejectedExecutionException e) {
            stopped = true; // The worker was closed in the meantime.
        }
    }

    private void writeSnapshot(Snapshot snapshotToWrite) {
        execute(() -> store.saveSnapshot(snapshotToWrite), () -> onSnapshotSaved(snapshotToWrite));
    }

    private void writeBatch(List<Save> batch) {
        execute(() -> store.save(batch), () -> onBatchWritten(batch));
    }

    /** A write to the store. */
    private interface Write {
        void run() throws IOException;
    }

    private void execute(Write write, Runnable onWritten) {
        thread.execute(() -> {
            try {
                write.run();
                loop.runOnContext(v -> onWritten.run());
            } catch (IOException | RuntimeException e) {
                loop.runOnContext(v -> onWriteFailed(e instanceof IOException io ? io : new IOException(e)));
            }
        });
    }

    private void onSnapshotSaved(Snapshot writtenSnapshot) {
        writing = false;
        snapshot = null;
        onSnapshotWritten.accept(writtenSnapshot);
        writeNext();
    }

    private void onBatchWritten(List<Save> batch) {
        writing = false;
        if (!stopped) {
            onSaved.accept(batch.get(batch.size() - 1).number());
        }
        writeNext();
    }

    private void onWriteFailed(IOException e) {
        writing = false;
        if (!stopped) {
            stopped = true;
            onFailure.accept(e);
        }
    }

    /** Closes the store after the write in progress. */
    void close() {
        stopped = true;
        thread.execute(() -> {
            try {
                store.close();
            } catch (IOException e) {
                // The store is not used any more.
            }
        });
        thread.shutdown();
    }
}
