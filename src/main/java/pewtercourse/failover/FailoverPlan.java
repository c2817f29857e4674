package pewtercourse.failover;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assigns the load of lost sites to failover targets; computed before the sites are lost.
 *
 * @param cases the distributions of the lost sites' loads by site name, for each planned set of lost sites by its
 *              {@link #key}
 */
public record FailoverPlan(SortedMap<String, SortedMap<String, Distribution>> cases) {
    /** A plan without any case. */
    public static final FailoverPlan EMPTY = new FailoverPlan(new TreeMap<>());

    /**
     * The part of a lost site's load that one failover target takes, in concurrent transfers.
     *
     * @param site the target's name
     * @param load the planned load
     * @param max  the largest load that the target may take if clients request more than planned
     */
    public record Allocation(String site, double load, double max) {}

    /**
     * The distribution of one lost site's load over its failover targets, in concurrent transfers.
     *
     * @param allocations one for each target that takes a part of the load
     * @param rejected    load for which no target has capacity
     */
    public record Distribution(List<Allocation> allocations, double rejected) {
        /** The distribution of a site without load. */
        public static final Distribution EMPTY = new Distribution(List.of(), 0);

        /** The load that all targets take together. */
        public double allocated() {
            return allocations.stream().mapToDouble(Allocation::load).sum();
        }

        /** The site's load that this distribution was computed for. */
        double total() {
            return allocated() + rejected;
        }

        boolean uses(String target) {
            return allocations.stream().anyMatch(allocation -> allocation.site().equals(target));
        }
    }

    /** Returns the name of a case: the names of the lost sites in sorted order, joined by plus signs. */
    static String key(Set<String> lost) {
        return String.join("+", new TreeSet<>(lost));
    }

    /**
     * Returns the distributions of these lost sites by name. If this set was not planned for, each site gets the
     * distribution for its single loss, and sites that use the same target divide its allocation so that no target is
     * overloaded.
     */
    public SortedMap<String, Distribution> distributions(Set<String> lost) {
        SortedMap<String, Distribution> planned = cases.get(key(lost));
        return planned != null ? planned : combinedSingleLosses(lost);
    }

    private SortedMap<String, Distribution> combinedSingleLosses(Set<String> lost) {
        SortedMap<String, Distribution> combined = new TreeMap<>();
        for (String site : new TreeSet<>(lost)) {
            Distribution ofSingleLoss = singleLoss(site);
            List<Allocation> divided = ofSingleLoss.allocations().stream()
                    .filter(allocation -> !lost.contains(allocation.site()))
                    .map(allocation -> divide(allocation, lost))
                    .toList();
            double allocated = new Distribution(divided, 0).allocated();
            combined.put(site, new Distribution(divided, Math.max(0, ofSingleLoss.total() - allocated)));
        }
        return combined;
    }

    private Allocation divide(Allocation allocation, Set<String> lost) {
        long sharingSites = lost.stream()
                .filter(site -> singleLoss(site).uses(allocation.site()))
                .count();
        return new Allocation(allocation.site(), allocation.load() / sharingSites, allocation.max() / sharingSites);
    }

    private Distribution singleLoss(String site) {
        return cases.getOrDefault(site, Collections.emptySortedMap()).getOrDefault(site, Distribution.EMPTY);
    }
}
