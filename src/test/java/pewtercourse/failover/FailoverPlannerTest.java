package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FailoverPlannerTest {
    static final Sites.Timing TIMING =
            new Sites.Timing(1_500_000, 2_000_000, 60_000_000, 1_000_000, List.of(0.2, 0.5, 1.0), 3_000_000);

    /** Sites in a ring, each of which all others may take. */
    static Sites sites(double... bears) {
        TreeMap<String, Site> all = new TreeMap<>();
        for (int i = 0; i < bears.length; i++) {
            List<Site.Taker> takers = new ArrayList<>();
            for (int d = 1; d < bears.length; d++) {
                takers.add(new Site.Taker("s" + (i + d) % bears.length, Math.min(d, bears.length - d)));
            }
            all.put("s" + i, new Site("s" + i, "hub", Set.of("d" + i), bears[i], 0.8, 0.4, 0, takers));
        }
        return new Sites(all, 0, TIMING); // Guests find all that they ask for.
    }

    private static Map<String, Double> loads(double... of) {
        Map<String, Double> loads = new TreeMap<>();
        for (int i = 0; i < of.length; i++) {
            loads.put("s" + i, of[i]);
        }
        return loads;
    }

    @Test
    void theNearestIsUsedFirstAndNoTakerBeyondWhatItLends() {
        // s1 can lend 4, s2 and s4 8 each, s3 4.8.
        FailoverPlan p = new FailoverPlanner()
                .plan(sites(20, 20, 20, 20, 20), loads(14, 15, 10, 14, 10), Set.of(), Set.of(), FailoverPlan.NONE);
        FailoverPlan.Shares s = p.when(Set.of("s0")).get("s0");
        assertEquals(0, s.refused(), 1e-6);
        assertEquals(Map.of("s1", 4.0, "s4", 8.0, "s2", 2.0), works(s));
    }

    private static Map<String, Double> works(FailoverPlan.Shares s) {
        Map<String, Double> works = new TreeMap<>();
        s.parts().forEach(p -> works.put(p.site(), Math.round(p.work() * 1e6) / 1e6));
        return works;
    }

    @Test
    void whatNobodyCanTakeIsRefused() {
        FailoverPlan p =
                new FailoverPlanner().plan(sites(20, 20, 20), loads(18, 18, 18), Set.of(), Set.of(), FailoverPlan.NONE);
        FailoverPlan.Shares s = p.when(Set.of("s1")).get("s1");
        assertEquals(18 - 2 * 1.6, s.refused(), 1e-6);
        // One that is impaired takes none.
        FailoverPlan q = new FailoverPlanner()
                .plan(sites(20, 20, 20), loads(18, 18, 18), Set.of(), Set.of("s2"), FailoverPlan.NONE);
        assertEquals(Map.of("s0", 1.6), works(q.when(Set.of("s1")).get("s1")));
    }

    @Test
    void aPlanStaysWhileLittleIsGainedAndGoesOnceItIsTooMuch() {
        Sites sites = sites(20, 20, 20, 20);
        FailoverPlan first =
                new FailoverPlanner().plan(sites, loads(10, 10, 10, 10), Set.of(), Set.of(), FailoverPlan.NONE);
        assertEquals(first, new FailoverPlanner().plan(sites, loads(10.2, 9.9, 10.1, 10), Set.of(), Set.of(), first));
        assertNotEquals(first, new FailoverPlanner().plan(sites, loads(10, 18, 10, 18), Set.of(), Set.of(), first));
    }

    @Test
    void aSetThatWasNotPlannedForPushesNoTakerOver() {
        Sites sites = sites(20, 20, 20, 20);
        FailoverPlan singles =
                new FailoverPlanner().plan(sites, loads(10, 10, 10, 10), Set.of(), Set.of(), FailoverPlan.NONE);
        Set<String> three = Set.of("s0", "s1", "s2");
        double asked = singles.when(three).values().stream()
                .flatMap(s -> s.parts().stream())
                .filter(p -> p.site().equals("s3"))
                .mapToDouble(FailoverPlan.Part::most)
                .sum();
        assertTrue(asked <= 8 + 1e-6, "s3 lends 8, asked for " + asked);
        assertTrue(singles.when(three).values().stream()
                .flatMap(s -> s.parts().stream())
                .allMatch(p -> p.site().equals("s3")));
    }

    @Property(tries = 300)
    void everyPlanKeepsWithinWhatIsLentAndCountsAllLoad(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int count, @ForAll boolean solverGivesUp) {
        Random random = new Random(seed);
        double[] bears = random.doubles(count, 1, 50).toArray();
        double[] asked = new double[count];
        for (int i = 0; i < count; i++) {
            asked[i] = bears[i] * random.nextDouble() * 1.1;
        }
        Sites sites = sites(bears);
        FailoverPlanner planner = solverGivesUp ? new FailoverPlanner(1) : new FailoverPlanner();
        FailoverPlan p = planner.plan(sites, loads(asked), Set.of(), Set.of(), FailoverPlan.NONE);
        assertEquals(
                p, planner.plan(sites, loads(asked), Set.of(), Set.of(), FailoverPlan.NONE), "equal input, equal plan");
        p.cases().forEach((key, shares) -> {
            Map<String, Double> at = new TreeMap<>();
            shares.forEach((site, s) -> {
                assertEquals(asked[Integer.parseInt(site.substring(1))], s.taken() + s.refused(), 1e-6, key);
                s.parts().forEach(x -> at.merge(x.site(), x.most(), Double::sum));
                s.parts().forEach(x -> assertTrue(x.most() >= x.work() - 1e-6, key));
            });
            at.forEach((taker, most) -> {
                double spare = sites.sites().get(taker).spare(asked[Integer.parseInt(taker.substring(1))]);
                assertTrue(most <= spare + 1e-6, key + ": " + taker + " lends " + spare + ", asked for " + most);
                assertTrue(!shares.containsKey(taker), key + ": a lost one takes");
            });
        });
    }

    @Property(tries = 100)
    void theSolverRefusesNoMoreThanTheFixedRule(@ForAll long seed) {
        Random random = new Random(seed);
        double[] bears = random.doubles(5, 1, 50).toArray(), asked = new double[5];
        for (int i = 0; i < 5; i++) {
            asked[i] = bears[i] * random.nextDouble();
        }
        FailoverPlan solved =
                new FailoverPlanner().plan(sites(bears), loads(asked), Set.of(), Set.of(), FailoverPlan.NONE);
        FailoverPlan fixed =
                new FailoverPlanner(1).plan(sites(bears), loads(asked), Set.of(), Set.of(), FailoverPlan.NONE);
        solved.cases().forEach((key, shares) -> {
            double a = shares.values().stream()
                    .mapToDouble(FailoverPlan.Shares::refused)
                    .sum();
            double b = fixed.cases().get(key).values().stream()
                    .mapToDouble(FailoverPlan.Shares::refused)
                    .sum();
            assertTrue(a <= b + 1e-6, key + ": " + a + " over " + b);
        });
    }
}
