package pewtercourse.decision;

import java.util.List;

/**
 * The position of a router among the others.
 *
 * @param router index of this router
 * @param routers total number of routers
 * @param zone index of this router's zone, negative if it has none
 * @param routersPerZone number of routers in each zone; may be empty
 */
public record RouterTopology(int router, int routers, int zone, List<Integer> routersPerZone) {
    public RouterTopology {
        routersPerZone = List.copyOf(routersPerZone);
    }

    /** Number of routers in the own zone, or of all routers if that is unknown; at least 1. */
    int routersInZone() {
        boolean known = zone >= 0 && zone < routersPerZone.size() && routersPerZone.get(zone) > 0;
        return known ? routersPerZone.get(zone) : Math.max(1, routers);
    }

    RouterTopology inZone(int otherZone) {
        return new RouterTopology(router, routers, otherZone, routersPerZone);
    }
}
