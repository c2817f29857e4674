package pewtercourse.failover;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Where the load of lost sites goes, made before it happens: for each set of lost sites that was planned for, the shares
 * of each of them.
 */
public record FailoverPlan(SortedMap<String, SortedMap<String, Shares>> cases) {
    public static final FailoverPlan NONE = new FailoverPlan(new TreeMap<>());

    /**
     * {@code work}: transfers at once that go to {@code site}; {@code most}: what may go there at most, where more is asked
     * for than was planned.
     */
    public record Part(String site, double work, double most) {}

    /** {@code refused}: transfers at once for which there is no room. */
    public record Shares(List<Part> parts, double refused) {
        public static final Shares NOTHING = new Shares(List.of(), 0);

        public double taken() {
            return parts.stream().mapToDouble(Part::work).sum();
        }
    }

    static String key(Set<String> lost) {
        return String.join("+", new TreeSet<>(lost));
    }

    /**
     * The shares of each of these lost sites. A set that was not planned for gets what was planned for each alone, each
     * part cut by how many of them lean on the same taker, so that none is pushed over.
     */
    public SortedMap<String, Shares> when(Set<String> lost) {
        SortedMap<String, Shares> known = cases.get(key(lost));
        if (known != null) {
            return known;
        }
        SortedMap<String, Shares> single = new TreeMap<>();
        for (String s : new TreeSet<>(lost)) {
            Shares of = cases.getOrDefault(s, Collections.emptySortedMap()).getOrDefault(s, Shares.NOTHING);
            double whole = of.taken() + of.refused();
            List<Part> parts = of.parts().stream()
                    .filter(p -> !lost.contains(p.site()))
                    .map(p -> {
                        long leaning = lost.stream()
                                .filter(o -> cases
                                        .getOrDefault(o, Collections.emptySortedMap())
                                        .getOrDefault(o, Shares.NOTHING)
                                        .parts()
                                        .stream()
                                        .anyMatch(q -> q.site().equals(p.site())))
                                .count();
                        return new Part(p.site(), p.work() / leaning, p.most() / leaning);
                    })
                    .toList();
            Shares cut = new Shares(parts, 0);
            single.put(s, new Shares(parts, Math.max(0, whole - cut.taken())));
        }
        return single;
    }
}
