package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import pewtercourse.Timers;

/**
 * Linearizable reads under way: callers that wait until a majority has confirmed that this member still leads, each for a
 * bounded time.
 *
 * <p>Mutable state: the waiting reads by number, and the next number. Event loop only.
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

    /** False when it is not confirmed in time, or can't be: only a leader is. Never fails. */
    Future<Boolean> confirm(RaftDriver driver) {
        long id = nextId++;
        if (pending.size() >= MAX_PENDING || driver.raft().read(clock.now(), id) != null) {
            return Future.succeededFuture(false);
        }
        Promise<Boolean> read = Promise.promise();
        pending.put(id, read);
        long timeout = timers.set(TIMEOUT_MS, () -> read.tryComplete(false));
        driver.drive();
        return read.future().onComplete(confirmed -> {
            pending.remove(id);
            timers.cancel(timeout);
        });
    }

    /** Raft has decided on the read with this number. */
    void complete(long id, boolean confirmed) {
        Promise<Boolean> read = pending.remove(id);
        if (read != null) {
            read.tryComplete(confirmed);
        }
    }

    /** The folder was closed: none of them is confirmed. */
    void failAll() {
        pending.values().forEach(read -> read.tryComplete(false));
        pending.clear();
    }
}
