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
 * Callers that wait for caches to be drained by a maintenance grant, each for a bounded time. How many there are is bounded
 * by the operators' address, which takes in so many calls.
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

    /** True once {@link #granted} names the target; false when that takes too long. Never fails. */
    Future<Boolean> await(String target) {
        Promise<Boolean> waiter = Promise.promise();
        waitersByTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(waiter);
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

    /** These caches are drained. */
    void granted(Set<String> drained) {
        for (String target : List.copyOf(waitersByTarget.keySet())) {
            if (drained.contains(target)) {
                List.copyOf(waitersByTarget.get(target)).forEach(waiter -> waiter.tryComplete(true));
            }
        }
    }
}
