package pewtercourse.decision;

import java.util.List;

/**
 * Where a router stands among the others.
 *
 * @param router index of this one
 * @param routers how many there are in all
 * @param zone index of its zone, negative if none
 * @param routersPerZone how many there are in each zone; may be empty
 */
public record RouterTopology(int router, int routers, int zone, List<Integer> routersPerZone) {
    public RouterTopology {
        routersPerZone = List.copyOf(routersPerZone);
    }

    /** Routers of the own zone; all routers where that is not known; at least 1. */
    int routersInZone() {
        boolean known = zone >= 0 && zone < routersPerZone.size() && routersPerZone.get(zone) > 0;
        return known ? routersPerZone.get(zone) : Math.max(1, routers);
    }

    RouterTopology inZone(int otherZone) {
        return new RouterTopology(router, routers, otherZone, routersPerZone);
    }
}
