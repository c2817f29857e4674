package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The acts of whoever keeps watch over maintenance: lets caches be taken out in the order of the calls while no more of
 * their zone are out than may be, takes back what is out for too long, and drops calls whose asker is gone.
 */
final class MaintenanceBudget {
    private final LeaseSettings set;
    private final Function<String, String> zoneOf;
    private final ToIntFunction<String> zoneSize;
    private final Map<Long, Long> seenOut = new HashMap<>(), orderedAt = new HashMap<>(); // By ticket.

    /** {@code zoneOf} a cache, "" where it is not known; {@code zoneSize}: caches listed in a zone. */
    MaintenanceBudget(LeaseSettings set, Function<String, String> zoneOf, ToIntFunction<String> zoneSize) {
        this.set = set;
        this.zoneOf = zoneOf;
        this.zoneSize = zoneSize;
    }

    /** Counts from when this member sees it, holder or not: a new holder then need not begin again. */
    void see(long now, ClusterState state) {
        seenOut.keySet().retainAll(state.tickets().keySet());
        orderedAt.keySet().retainAll(state.tickets().keySet());
        state.tickets().values().forEach(t -> {
            if (t.let()) {
                seenOut.putIfAbsent(t.number(), now);
            }
        });
    }

    List<Command> orders(long now, long unixMs, long token, ClusterState state) {
        List<Command> orders = new ArrayList<>();
        orderedAt.values().removeIf(at -> now - at >= set.again());
        Map<String, Integer> out = new HashMap<>();
        state.out().keySet().forEach(name -> {
            ClusterState.MaintenanceRequest t = state.ticketOf(name);
            out.merge(t == null ? zoneOf.apply(name) : t.zone(), 1, Integer::sum);
        });
        for (ClusterState.MaintenanceRequest t : state.tickets().values()) {
            if (t.let()) {
                if (now - seenOut.getOrDefault(t.number(), now)
                        > set.maintenanceBudget().outMost()) {
                    order(now, orders, t, new Command.CancelMaintenance(t.target(), t.number(), token, unixMs));
                }
            } else if (state.absent().contains(t.by())) {
                order(now, orders, t, new Command.CancelMaintenance(t.target(), t.number(), token, unixMs));
            } else if (out.getOrDefault(t.zone(), 0) < set.maintenanceBudget().limit(zoneSize.applyAsInt(t.zone()))) {
                // What was ordered and is not agreed yet counts as out.
                out.merge(t.zone(), 1, Integer::sum);
                order(now, orders, t, new Command.GrantMaintenance(t.target(), t.number(), token, unixMs));
            }
        }
        return orders;
    }

    private void order(long now, List<Command> orders, ClusterState.MaintenanceRequest t, Command c) {
        if (orderedAt.putIfAbsent(t.number(), now) == null) {
            orders.add(c);
        }
    }
}
