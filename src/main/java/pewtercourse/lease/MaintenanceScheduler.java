package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Gives the orders of the holder of the maintenance lease. It grants requests in their order while the maintenance
 * budget of the cache's zone allows it. It cancels grants that last too long, and open requests of members that are
 * absent. Every member tracks when grants began, so that a new holder need not count their time from the start again.
 * Times are microseconds of the member's own clock.
 */
final class MaintenanceScheduler {
    private final LeaseSettings settings;
    private final Function<String, String> zoneOf;
    private final ToIntFunction<String> zoneSize;
    private final RetryThrottle<Long> throttle; // By request number.
    private final Map<Long, Long> grantSeenAt = new HashMap<>(); // By request number.

    /**
     * Creates the scheduler of a member.
     *
     * @param zoneOf   gives the zone of a cache, or "" if the zone is unknown
     * @param zoneSize gives the number of caches listed in a zone
     */
    MaintenanceScheduler(LeaseSettings settings, Function<String, String> zoneOf, ToIntFunction<String> zoneSize) {
        this.settings = settings;
        this.zoneOf = zoneOf;
        this.zoneSize = zoneSize;
        this.throttle = new RetryThrottle<>(settings.retryMicros());
    }

    /** Called after the state has changed. Records when this member first sees each grant. */
    void onStateChanged(long now, ClusterState state) {
        grantSeenAt.keySet().retainAll(state.maintenanceRequests().keySet());
        throttle.retain(state.maintenanceRequests().keySet());
        for (MaintenanceRequest request : state.maintenanceRequests().values()) {
            if (request.granted()) {
                grantSeenAt.putIfAbsent(request.number(), now);
            }
        }
    }

    /** Returns the orders that the holder of this fencing token gives now. */
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
        Map<String, Integer> drainedByZone = new HashMap<>();
        for (String target : state.drainedCaches().keySet()) {
            String zone = state.maintenanceRequestFor(target)
                    .map(MaintenanceRequest::zone)
                    .orElseGet(() -> zoneOf.apply(target));
            drainedByZone.merge(zone, 1, Integer::sum);
        }
        return drainedByZone;
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
            // A grant that is proposed but not agreed yet counts as drained.
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
