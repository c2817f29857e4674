package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pewtercourse.Timers;

/** Callers that wait for caches to be taken out, each for a bounded time. As many as the operators' address takes. */
final class GrantWaiters {
    private static final long WAIT_MS = 400;

    private final Timers timers;
    private final Map<String, List<Promise<Boolean>>> byTarget = new HashMap<>();

    GrantWaiters(Timers timers) {
        this.timers = timers;
    }

    /** True once {@link #granted} names the target; false when that takes too long. Never fails. */
    Future<Boolean> await(String target) {
        Promise<Boolean> waiter = Promise.promise();
        byTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(waiter);
        long timeout = timers.set(WAIT_MS, () -> waiter.tryComplete(false));
        return waiter.future().onComplete(granted -> {
            timers.cancel(timeout);
            remove(target, waiter);
        });
    }

    private void remove(String target, Promise<Boolean> waiter) {
        List<Promise<Boolean>> waiters = byTarget.get(target);
        if (waiters != null) {
            waiters.remove(waiter);
            if (waiters.isEmpty()) {
                byTarget.remove(target);
            }
        }
    }

    /** These caches are out. */
    void granted(Set<String> out) {
        for (String target : List.copyOf(byTarget.keySet())) {
            if (out.contains(target)) {
                List.copyOf(byTarget.get(target)).forEach(waiter -> waiter.tryComplete(true));
            }
        }
    }
}
