package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Creates sites for tests: a ring of {@code s0}, {@code s1}, ... with one director each. Each site is a failover target
 * of all others.
 */
final class TestSites {
    static final FailoverTiming TIMING =
            new FailoverTiming(1_500_000, 2_000_000, 60_000_000, 1_000_000, List.of(0.2, 0.5, 1.0), 3_000_000);
    private static final double SPARE_SHARE = 0.8;
    private static final double RESERVED_SHARE = 0.4;
    private static final double GUEST_MISS_RATIO = 0;

    private TestSites() {}

    static Sites ring(double... capacities) {
        TreeMap<String, Site> sites = new TreeMap<>();
        for (int i = 0; i < capacities.length; i++) {
            String name = "s" + i;
            Set<String> directors = Set.of("d" + i);
            List<Site.FailoverTarget> targets = otherSitesOnRing(i, capacities.length);
            sites.put(name, new Site(name, "hub", directors, capacities[i], SPARE_SHARE, RESERVED_SHARE, 0, targets));
        }
        return new Sites(sites, GUEST_MISS_RATIO, TIMING);
    }

    private static List<Site.FailoverTarget> otherSitesOnRing(int ownIndex, int count) {
        List<Site.FailoverTarget> targets = new ArrayList<>();
        for (int offset = 1; offset < count; offset++) {
            int distance = Math.min(offset, count - offset);
            targets.add(new Site.FailoverTarget("s" + (ownIndex + offset) % count, distance));
        }
        return targets;
    }

    /** Returns these loads by site name, for {@code s0}, {@code s1}, ... */
    static Map<String, Double> loads(double... loads) {
        Map<String, Double> bySite = new TreeMap<>();
        for (int i = 0; i < loads.length; i++) {
            bySite.put("s" + i, loads[i]);
        }
        return bySite;
    }

    /** Returns a state with the first plan for these loads. */
    static FailoverState planned(Sites sites, double... loads) {
        FailoverState state = new FailoverState();
        state.setPlan(new FailoverPlanner().plan(sites, FailoverPlanRequest.first(loads(loads))));
        return state;
    }
}
