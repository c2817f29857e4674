package pewtercourse.failover;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Where the load of lost sites goes, computed before they are lost.
 *
 * @param cases for each set of lost sites that was planned for, by its {@link #key}: the distribution of each lost
 *              site's load, by its name
 */
public record FailoverPlan(SortedMap<String, SortedMap<String, Distribution>> cases) {
    /** Plans for nothing. */
    public static final FailoverPlan EMPTY = new FailoverPlan(new TreeMap<>());

    /**
     * One failover target's part of a lost site's load, in concurrent transfers.
     *
     * @param site the target's name
     * @param load what goes there
     * @param max  the most that may go there if clients ask for more than was planned for
     */
    public record Allocation(String site, double load, double max) {}

    /**
     * Where the load of one lost site goes, in concurrent transfers.
     *
     * @param allocations one for each target that takes some
     * @param rejected    load for which no target has capacity
     */
    public record Distribution(List<Allocation> allocations, double rejected) {
        /** Of a site without load. */
        public static final Distribution EMPTY = new Distribution(List.of(), 0);

        /** What all targets take together. */
        public double allocated() {
            return allocations.stream().mapToDouble(Allocation::load).sum();
        }

        /** All of the site's load that was planned for. */
        double total() {
            return allocated() + rejected;
        }

        boolean uses(String target) {
            return allocations.stream().anyMatch(allocation -> allocation.site().equals(target));
        }
    }

    /** The name of a case: the lost sites in order, joined by plus signs. */
    static String key(Set<String> lost) {
        return String.join("+", new TreeSet<>(lost));
    }

    /**
     * The distributions of these lost sites by name. A set that was not planned for gets what was planned for each of
     * them alone, divided among those of them that use the same target, so that none is overloaded.
     */
    public SortedMap<String, Distribution> distributions(Set<String> lost) {
        SortedMap<String, Distribution> planned = cases.get(key(lost));
        return planned != null ? planned : combinedSingleLosses(lost);
    }

    private SortedMap<String, Distribution> combinedSingleLosses(Set<String> lost) {
        SortedMap<String, Distribution> combined = new TreeMap<>();
        for (String site : new TreeSet<>(lost)) {
            Distribution alone = singleLoss(site);
            List<Allocation> divided = alone.allocations().stream()
                    .filter(allocation -> !lost.contains(allocation.site()))
                    .map(allocation -> divide(allocation, lost))
                    .toList();
            double allocated = new Distribution(divided, 0).allocated();
            combined.put(site, new Distribution(divided, Math.max(0, alone.total() - allocated)));
        }
        return combined;
    }

    private Allocation divide(Allocation allocation, Set<String> lost) {
        long users = lost.stream()
                .filter(site -> singleLoss(site).uses(allocation.site()))
                .count();
        return new Allocation(allocation.site(), allocation.load() / users, allocation.max() / users);
    }

    private Distribution singleLoss(String site) {
        return cases.getOrDefault(site, Collections.emptySortedMap()).getOrDefault(site, Distribution.EMPTY);
    }
}
