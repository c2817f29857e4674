package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.failover.TestSites.loads;
import static pewtercourse.failover.TestSites.ring;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FailoverPlannerTest {
    private static final double TOLERANCE = 1e-6;
    private static final int FALLBACK_ONLY = 1;

    private static FailoverPlan firstPlan(Sites sites, Map<String, Double> loads) {
        return new FailoverPlanner().plan(sites, FailoverPlanRequest.first(loads));
    }

    private static FailoverPlan nextPlan(
            Sites sites, Map<String, Double> loads, Set<String> ineligible, FailoverPlan current) {
        FailoverPlanRequest request = new FailoverPlanRequest(new TreeMap<>(loads), Set.of(), ineligible, current);
        return new FailoverPlanner().plan(sites, request);
    }

    private static Map<String, Double> loadByTarget(FailoverPlan.Distribution distribution) {
        Map<String, Double> loads = new TreeMap<>();
        distribution
                .allocations()
                .forEach(allocation -> loads.put(allocation.site(), Math.round(allocation.load() * 1e6) / 1e6));
        return loads;
    }

    private static FailoverPlan.Distribution distribution(FailoverPlan plan, String lost) {
        return plan.distributions(Set.of(lost)).get(lost);
    }

    @Test
    void fillsTheNearestTargetsFirstUpToTheirSpareCapacity() {
        // The spare capacity is 4 at s1, 8 at s2 and s4, and 4.8 at s3.
        FailoverPlan plan = firstPlan(ring(20, 20, 20, 20, 20), loads(14, 15, 10, 14, 10));

        FailoverPlan.Distribution distribution = distribution(plan, "s0");

        assertEquals(0, distribution.rejected(), TOLERANCE);
        assertEquals(Map.of("s1", 4.0, "s4", 8.0, "s2", 2.0), loadByTarget(distribution));
    }

    @Test
    void rejectsLoadForWhichNoTargetHasCapacity() {
        FailoverPlan plan = firstPlan(ring(20, 20, 20), loads(18, 18, 18));

        assertEquals(18 - 2 * 1.6, distribution(plan, "s1").rejected(), TOLERANCE);
    }

    @Test
    void assignsNoLoadToAnIneligibleSite() {
        FailoverPlan plan = nextPlan(ring(20, 20, 20), loads(18, 18, 18), Set.of("s2"), FailoverPlan.EMPTY);

        assertEquals(Map.of("s0", 1.6), loadByTarget(distribution(plan, "s1")));
    }

    @Test
    void keepsTheCurrentPlanWhenANewOneWouldSaveLittle() {
        Sites sites = ring(20, 20, 20, 20);
        FailoverPlan current = firstPlan(sites, loads(10, 10, 10, 10));

        assertEquals(current, nextPlan(sites, loads(10.2, 9.9, 10.1, 10), Set.of(), current));
    }

    @Test
    void replacesAPlanThatOverloadsItsTargets() {
        Sites sites = ring(20, 20, 20, 20);
        FailoverPlan current = firstPlan(sites, loads(10, 10, 10, 10));

        assertNotEquals(current, nextPlan(sites, loads(10, 18, 10, 18), Set.of(), current));
    }

    @Test
    void overloadsNoTargetWhenASetOfLossesWasNotPlanned() {
        FailoverPlan plan = firstPlan(ring(20, 20, 20, 20), loads(10, 10, 10, 10));

        SortedMap<String, FailoverPlan.Distribution> distributions = plan.distributions(Set.of("s0", "s1", "s2"));

        double maxLoadAtS3 = distributions.values().stream()
                .flatMap(distribution -> distribution.allocations().stream())
                .filter(allocation -> allocation.site().equals("s3"))
                .mapToDouble(FailoverPlan.Allocation::max)
                .sum();
        assertTrue(maxLoadAtS3 <= 8 + TOLERANCE, "s3 has a spare capacity of 8, allocated " + maxLoadAtS3);
        assertTrue(
                distributions.values().stream()
                        .flatMap(distribution -> distribution.allocations().stream())
                        .allMatch(allocation -> allocation.site().equals("s3")),
                "a lost site is a target");
    }

    @Property(tries = 300)
    void staysWithinSpareCapacityAndAccountsForAllLoad(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int count, @ForAll boolean useFallback) {
        Random random = new Random(seed);
        double[] capacities = random.doubles(count, 1, 50).toArray();
        double[] loads = new double[count];
        for (int i = 0; i < count; i++) {
            loads[i] = capacities[i] * random.nextDouble() * 1.1;
        }
        Sites sites = ring(capacities);
        FailoverPlanRequest request = FailoverPlanRequest.first(loads(loads));
        FailoverPlanner planner = useFallback ? new FailoverPlanner(FALLBACK_ONLY) : new FailoverPlanner();

        FailoverPlan plan = planner.plan(sites, request);

        assertEquals(plan, planner.plan(sites, request), "equal input must give an equal plan");
        plan.cases().forEach((lost, distributions) -> {
            distributions.forEach((site, distribution) ->
                    assertAccountsForLoad(lost, distribution, request.loads().get(site)));
            assertWithinSpareCapacity(lost, distributions, sites, request.loads());
        });
    }

    private static void assertAccountsForLoad(String lost, FailoverPlan.Distribution distribution, double load) {
        assertEquals(load, distribution.allocated() + distribution.rejected(), TOLERANCE, lost);
        distribution
                .allocations()
                .forEach(allocation -> assertTrue(allocation.max() >= allocation.load() - TOLERANCE, lost));
    }

    private static void assertWithinSpareCapacity(
            String lost,
            SortedMap<String, FailoverPlan.Distribution> distributions,
            Sites sites,
            Map<String, Double> loads) {
        Map<String, Double> maxByTarget = new TreeMap<>();
        distributions
                .values()
                .forEach(distribution -> distribution
                        .allocations()
                        .forEach(allocation -> maxByTarget.merge(allocation.site(), allocation.max(), Double::sum)));
        maxByTarget.forEach((target, max) -> {
            double spare = sites.byName().get(target).spareCapacity(loads.get(target));
            assertTrue(
                    max <= spare + TOLERANCE,
                    lost + ": " + target + " has a spare capacity of " + spare + ", allocated " + max);
            assertFalse(distributions.containsKey(target), lost + ": a lost site is a target");
        });
    }

    @Property(tries = 100)
    void solverRejectsNoMoreLoadThanTheFallback(@ForAll long seed) {
        Random random = new Random(seed);
        double[] capacities = random.doubles(5, 1, 50).toArray();
        double[] loads = new double[5];
        for (int i = 0; i < 5; i++) {
            loads[i] = capacities[i] * random.nextDouble();
        }
        FailoverPlanRequest request = FailoverPlanRequest.first(loads(loads));

        FailoverPlan solved = new FailoverPlanner().plan(ring(capacities), request);
        FailoverPlan fallback = new FailoverPlanner(FALLBACK_ONLY).plan(ring(capacities), request);

        solved.cases().forEach((lost, distributions) -> {
            double rejectedBySolver = rejected(distributions);
            double rejectedByFallback = rejected(fallback.cases().get(lost));
            assertTrue(
                    rejectedBySolver <= rejectedByFallback + TOLERANCE,
                    lost + ": solver rejects " + rejectedBySolver + ", fallback " + rejectedByFallback);
        });
    }

    private static double rejected(SortedMap<String, FailoverPlan.Distribution> distributions) {
        return distributions.values().stream()
                .mapToDouble(FailoverPlan.Distribution::rejected)
                .sum();
    }
}
