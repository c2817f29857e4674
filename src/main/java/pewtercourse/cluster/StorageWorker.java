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
 * Writes to the {@link LogStore} on a thread of its own, one batch at a time: what is to be saved while a write is under way
 * goes into the next one together, with one sync. After an error nothing more is written; whoever is told closes it.
 *
 * <p>Mutable state: the waiting saves and snapshot, and whether a write is under way or has failed. It belongs to the event
 * loop; the storage thread touches the store alone.
 */
final class StorageWorker {
    private final ExecutorService thread;
    private final Context loop;
    private final LogStore store;
    private final LongConsumer onSaved;
    private final Consumer<IOException> onFailure;
    private final List<Save> waiting = new ArrayList<>();
    private Snapshot snapshot; // Null while none waits or is being written.
    private Consumer<Snapshot> onSnapshotWritten;
    private boolean writing;
    private boolean stopped;
    private boolean savedLast;

    /**
     * Makes a worker for an open store. All calls come from {@code loop}, where the callbacks run as well.
     *
     * @param onSaved   takes the number of the last save that is on disk
     * @param onFailure takes the first error
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
        waiting.add(save);
        writeNext();
    }

    /** Writes a snapshot in turn with the saves; {@code onWritten} takes it once it is on disk. Ignored while one is being written. */
    void snapshot(Snapshot newSnapshot, Consumer<Snapshot> onWritten) {
        if (snapshot != null || stopped) {
            return;
        }
        snapshot = newSnapshot;
        onSnapshotWritten = onWritten;
        writeNext();
    }

    private void writeNext() {
        if (writing || stopped || waiting.isEmpty() && snapshot == null) {
            return;
        }
        writing = true;
        // In turn, so that neither keeps the other waiting for ever.
        boolean snapshotsTurn = snapshot != null && (waiting.isEmpty() || savedLast);
        savedLast = !snapshotsTurn;
        try {
            if (snapshotsTurn) {
                writeSnapshot(snapshot);
            } else {
                List<Save> batch = List.copyOf(waiting);
                waiting.clear();
                writeBatch(batch);
            }
        } catch (RejectedExecutionException e) {
            stopped = true; // It was closed meanwhile.
        }
    }

    private void writeSnapshot(Snapshot written) {
        execute(() -> store.saveSnapshot(written), () -> snapshotWritten(written));
    }

    private void writeBatch(List<Save> batch) {
        execute(() -> store.save(batch), () -> batchWritten(batch));
    }

    /** One write to the store. */
    private interface Write {
        void run() throws IOException;
    }

    private void execute(Write write, Runnable onWritten) {
        thread.execute(() -> {
            try {
                write.run();
                loop.runOnContext(v -> onWritten.run());
            } catch (IOException | RuntimeException e) {
                loop.runOnContext(v -> failed(e instanceof IOException io ? io : new IOException(e)));
            }
        });
    }

    private void snapshotWritten(Snapshot written) {
        writing = false;
        snapshot = null;
        onSnapshotWritten.accept(written);
        writeNext();
    }

    private void batchWritten(List<Save> batch) {
        writing = false;
        if (!stopped) {
            onSaved.accept(batch.get(batch.size() - 1).seq());
        }
        writeNext();
    }

    private void failed(IOException e) {
        writing = false;
        if (!stopped) {
            stopped = true;
            onFailure.accept(e);
        }
    }

    /** Closes the store after the write that is under way. */
    void close() {
        stopped = true;
        thread.execute(() -> {
            try {
                store.close();
            } catch (IOException e) {
                // Nothing more is asked of it.
            }
        });
        thread.shutdown();
    }
}
