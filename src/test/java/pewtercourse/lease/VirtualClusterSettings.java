package pewtercourse.lease;

import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.failover.FailoverTiming;
import pewtercourse.failover.Site;
import pewtercourse.failover.Sites;

/** The settings of a {@link VirtualCluster}. Times are in microseconds. */
final class VirtualClusterSettings {
    static final List<String> SITES = List.of("east", "north", "west");

    final LeaseSettings leaseSettings = new LeaseSettings(
            1_000_000,
            0.01,
            150_000,
            Set.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA, LeaseNames.SITES),
            new LeaseSettings.MaintenanceBudget(0, 0.25, 2_500_000, true),
            new LeaseSettings.QuotaPolicy(400, 1_500_000));
    final Sites sites = sites();

    private static Sites sites() {
        SortedMap<String, Site> byName = new TreeMap<>();
        for (int i = 0; i < SITES.size(); i++) {
            Set<String> directors = Set.of("d" + (i + 1));
            Site.FailoverTarget failoverTarget = new Site.FailoverTarget(SITES.get((i + 1) % SITES.size()), 1);
            byName.put(SITES.get(i), new Site(SITES.get(i), "", directors, 20, 0.5, 0.2, 0, List.of(failoverTarget)));
        }
        List<Double> steps = List.of(0.25, 0.5, 1.0);
        FailoverTiming timing = new FailoverTiming(700_000, 1_000_000, 6_000_000, 400_000, steps, 1_500_000);
        return new Sites(byName, 0.2, timing);
    }
}
