package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Generates random sites for recorded traces. Sets are sorted, so equal seeds give equal floating-point sums. */
final class TraceSites {
    private static final double[] SPARE_SHARES = {0, 0.3, 0.8, 1};
    private static final double[] RESERVED_SHARES = {0, 0.25, 0.6};
    private static final List<List<Double>> STEPS =
            List.of(List.of(0.2, 0.5, 1.0), List.of(0.15, 0.3, 0.5, 0.75, 1.0), List.of(1.0));

    private TraceSites() {}

    static Sites draw(Random random, int count) {
        FailoverTiming timing = new FailoverTiming(
                1_000_000 + random.nextInt(1_000_000),
                1_000_000 + random.nextInt(2_000_000),
                8_000_000 + random.nextInt(30_000_000),
                500_000 + random.nextInt(1_500_000),
                STEPS.get(random.nextInt(STEPS.size())),
                2_000_000 + random.nextInt(2_000_000));
        return new Sites(sites(random, count), 0.01 + 0.6 * random.nextDouble(), timing);
    }

    /** Draws new sites with the same naming and recovery steps; may add or remove a site. */
    static Sites redraw(Random random, Sites previous) {
        int count = Math.max(3, previous.byName().size() + random.nextInt(3) - 1);
        FailoverTiming previousTiming = previous.timing();
        FailoverTiming timing = new FailoverTiming(
                previousTiming.lossDelayMicros(),
                previousTiming.recoveryDelayMicros() / 2 + 500_000,
                previousTiming.maxRecoveryDelayMicros(),
                previousTiming.minRecoveryStepMicros(),
                previousTiming.recoverySteps(),
                previousTiming.observationLifetimeMicros());
        return new Sites(sites(random, count), previous.guestMissRatio() / 2 + 0.01, timing);
    }

    private static SortedMap<String, Site> sites(Random random, int count) {
        SortedMap<String, Site> sites = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            String name = "s" + i;
            Set<String> directors = new TreeSet<>();
            for (int director = random.nextInt(4); director > 0; director--) {
                directors.add("d" + i + "." + director);
            }
            List<Site.FailoverTarget> targets = new ArrayList<>();
            for (int offset = 1; offset < count; offset++) {
                if (random.nextInt(6) > 0) {
                    targets.add(new Site.FailoverTarget("s" + (i + offset) % count, 1 + random.nextInt(4)));
                }
            }
            sites.put(
                    name,
                    new Site(
                            name,
                            random.nextInt(5) == 0 ? "" : "hub",
                            directors,
                            4 + 40 * random.nextDouble(),
                            SPARE_SHARES[random.nextInt(SPARE_SHARES.length)],
                            RESERVED_SHARES[random.nextInt(RESERVED_SHARES.length)],
                            random.nextInt(3) == 0 ? 2 + 8 * random.nextDouble() : 0,
                            targets));
        }
        return sites;
    }
}
