package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pewtercourse.Timers;

/**
 * Holds the callers that wait for a maintenance grant to drain a cache, each for a bounded time. The operators' address
 * limits the number of calls and so the number of waiters.
 *
 * <p>Mutable state: the waiting callers by cache. Event loop only.
 */
final class MaintenanceGrantWaiters {
    private static final long TIMEOUT_MS = 400;

    private final Timers timers;
    private final Map<String, List<Promise<Boolean>>> waitersByTarget = new HashMap<>();

    MaintenanceGrantWaiters(Timers timers) {
        this.timers = timers;
    }

    /** Completes with true once {@link #granted} names the target, with false after the timeout. Never fails. */
    Future<Boolean> await(String target) {
        Promise<Boolean> waiter = Promise.promise();
        waitersByTarget.computeIfAbsent(target, key -> new ArrayList<>()).add(waiter);
        long timeout = timers.set(TIMEOUT_MS, () -> waiter.tryComplete(false));
        return waiter.future().onComplete(granted -> {
            timers.cancel(timeout);
            remove(target, waiter);
        });
    }

    private void remove(String target, Promise<Boolean> waiter) {
        List<Promise<Boolean>> waiters = waitersByTarget.get(target);
        if (waiters != null) {
            waiters.remove(waiter);
            if (waiters.isEmpty()) {
                waitersByTarget.remove(target);
            }
        }
    }

    /** Completes the callers that wait for one of these drained caches. */
    void granted(Set<String> drainedCaches) {
        for (String target : List.copyOf(waitersByTarget.keySet())) {
            if (drainedCaches.contains(target)) {
                List.copyOf(waitersByTarget.get(target)).forEach(waiter -> waiter.tryComplete(true));
            }
        }
    }
}
