package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import pewtercourse.Timers;

/**
 * Holds the pending linearizable reads: callers that wait until a majority confirms that this member still leads, each
 * for a bounded time.
 *
 * <p>Mutable state: the pending reads by id, and the next id. Event loop only.
 */
final class PendingReads {
    private static final int MAX_PENDING = 256;
    private static final long TIMEOUT_MS = 400;

    private final Timers timers;
    private final MemberClock clock;
    private final Map<Long, Promise<Boolean>> pending = new HashMap<>();
    private long nextId = 1;

    PendingReads(MemberEnvironment environment) {
        this.timers = environment.timers();
        this.clock = environment.clock();
    }

    /**
     * Completes with true once leadership is confirmed, with false if that fails, takes too long, or this member does
     * not lead. Never fails.
     */
    Future<Boolean> confirm(RaftDriver driver) {
        long id = nextId++;
        if (pending.size() >= MAX_PENDING || driver.raft().read(clock.now(), id) != null) {
            return Future.succeededFuture(false);
        }
        Promise<Boolean> read = Promise.promise();
        pending.put(id, read);
        long timeoutTimer = timers.set(TIMEOUT_MS, () -> read.tryComplete(false));
        driver.drive();
        return read.future().onComplete(confirmed -> {
            pending.remove(id);
            timers.cancel(timeoutTimer);
        });
    }

    /** Completes the read with this id by Raft's decision. */
    void complete(long id, boolean confirmed) {
        Promise<Boolean> read = pending.remove(id);
        if (read != null) {
            read.tryComplete(confirmed);
        }
    }

    /** Completes all pending reads as not confirmed, after the data folder was closed. */
    void failAll() {
        pending.values().forEach(read -> read.tryComplete(false));
        pending.clear();
    }
}
