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
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.store.LogStore;

/**
 * The store on a thread of its own. What is to be saved while a write is under way goes into the next one together, with
 * one sync. After an error nothing more is done: whoever is told closes it.
 */
final class Disk {
    private final ExecutorService thread;
    private final Context loop;
    private final LogStore store;
    private final LongConsumer saved;
    private final Consumer<IOException> failed;
    private final List<Save> waiting = new ArrayList<>();
    private Snapshot snapshot;
    private Consumer<Snapshot> snapshotDone;
    private boolean busy, broken, savedLast;

    /** {@code saved} and {@code failed} run on {@code loop}, where all calls come from. */
    Disk(ExecutorService thread, Context loop, LogStore store, LongConsumer saved, Consumer<IOException> failed) {
        this.thread = thread;
        this.loop = loop;
        this.store = store;
        this.saved = saved;
        this.failed = failed;
    }

    static ExecutorService thread() {
        return Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "cluster-disk");
            t.setDaemon(true);
            return t;
        });
    }

    Saved recover() throws IOException {
        return store.recover();
    }

    void save(Save s) {
        waiting.add(s);
        write();
    }

    /** False while one is being written. */
    boolean snapshot(Snapshot s, Consumer<Snapshot> done) {
        if (snapshot != null || broken) {
            return false;
        }
        snapshot = s;
        snapshotDone = done;
        write();
        return true;
    }

    private void write() {
        if (busy || broken || waiting.isEmpty() && snapshot == null) {
            return;
        }
        busy = true;
        // By turns, so that neither keeps the other waiting for ever.
        Snapshot made = snapshot != null && (waiting.isEmpty() || savedLast) ? snapshot : null;
        savedLast = made == null;
        List<Save> group = made == null ? List.copyOf(waiting) : List.of();
        if (made == null) {
            waiting.clear();
        }
        try {
            thread.execute(() -> {
                try {
                    if (made == null) {
                        store.save(group);
                    } else {
                        store.saveSnapshot(made);
                    }
                    loop.runOnContext(v -> done(group, made));
                } catch (IOException | RuntimeException e) {
                    loop.runOnContext(v -> broke(e instanceof IOException io ? io : new IOException(e)));
                }
            });
        } catch (RejectedExecutionException e) {
            broken = true; // It was closed meanwhile.
        }
    }

    private void done(List<Save> group, Snapshot made) {
        busy = false;
        if (made != null) {
            Consumer<Snapshot> then = snapshotDone;
            snapshot = null;
            then.accept(made);
        } else if (!broken) {
            saved.accept(group.get(group.size() - 1).seq());
        }
        write();
    }

    private void broke(IOException e) {
        busy = false;
        if (!broken) {
            broken = true;
            failed.accept(e);
        }
    }

    /** Ends it after what is under way. */
    void close() {
        broken = true;
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
