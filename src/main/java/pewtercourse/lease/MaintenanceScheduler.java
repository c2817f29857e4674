package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The orders of the holder of the maintenance lease: grants requests in their order while the maintenance budget of the
 * cache's zone allows it, cancels grants that last too long, and requests whose member is absent. Every member follows
 * the state, so that a new holder need not begin anew. Times are microseconds of the member's own clock.
 */
final class MaintenanceScheduler {
    private final LeaseSettings settings;
    private final Function<String, String> zoneOf;
    private final ToIntFunction<String> zoneSize;
    private final RetryThrottle<Long> throttle; // By request.
    private final Map<Long, Long> grantSeenAt = new HashMap<>(); // By request.

    /** {@code zoneOf} a cache, "" where it is not known; {@code zoneSize}: caches listed in a zone. */
    MaintenanceScheduler(LeaseSettings settings, Function<String, String> zoneOf, ToIntFunction<String> zoneSize) {
        this.settings = settings;
        this.zoneOf = zoneOf;
        this.zoneSize = zoneSize;
        this.throttle = new RetryThrottle<>(settings.retryMicros());
    }

    /** The state after a change: notes when this member first sees each grant. */
    void follow(long now, ClusterState state) {
        grantSeenAt.keySet().retainAll(state.maintenanceRequests().keySet());
        throttle.retain(state.maintenanceRequests().keySet());
        for (MaintenanceRequest request : state.maintenanceRequests().values()) {
            if (request.granted()) {
                grantSeenAt.putIfAbsent(request.number(), now);
            }
        }
    }

    /** What the holder of this fencing token orders now. */
    List<Command> orders(long now, long unixMs, long token, ClusterState state) {
        throttle.expire(now);
        List<Command> orders = new ArrayList<>();
        Map<String, Integer> drainedByZone = drainedByZone(state);
        for (MaintenanceRequest request : state.maintenanceRequests().values()) {
            Optional<Command> order = order(now, unixMs, token, request, state, drainedByZone);
            if (order.isPresent() && throttle.tryPropose(request.number(), now)) {
                orders.add(order.get());
            }
        }
        return orders;
    }

    private Map<String, Integer> drainedByZone(ClusterState state) {
        Map<String, Integer> drained = new HashMap<>();
        for (String target : state.drainedCaches().keySet()) {
            String zone = state.maintenanceRequestFor(target)
                    .map(MaintenanceRequest::zone)
                    .orElseGet(() -> zoneOf.apply(target));
            drained.merge(zone, 1, Integer::sum);
        }
        return drained;
    }

    private Optional<Command> order(
            long now,
            long unixMs,
            long token,
            MaintenanceRequest request,
            ClusterState state,
            Map<String, Integer> drainedByZone) {
        if (request.granted() ? isOverdue(now, request) : state.absentMembers().contains(request.requestedBy())) {
            return Optional.of(new Command.CancelMaintenance(request.target(), request.number(), token, unixMs));
        }
        String zone = request.zone();
        if (!request.granted() && drainedByZone.getOrDefault(zone, 0) < limit(zone)) {
            // What is ordered and not agreed yet counts as drained.
            drainedByZone.merge(zone, 1, Integer::sum);
            return Optional.of(new Command.GrantMaintenance(request.target(), request.number(), token, unixMs));
        }
        return Optional.empty();
    }

    private boolean isOverdue(long now, MaintenanceRequest request) {
        long drainedMicros = now - grantSeenAt.getOrDefault(request.number(), now);
        return drainedMicros > settings.maintenanceBudget().maxDrainMicros();
    }

    private int limit(String zone) {
        return settings.maintenanceBudget().limit(zoneSize.applyAsInt(zone));
    }
}
