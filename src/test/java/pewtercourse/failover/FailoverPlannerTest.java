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
    void theNearestTargetIsUsedFirstAndNoneBeyondItsSpareCapacity() {
        // s1 has 4 to spare, s2 and s4 8 each, s3 4.8.
        FailoverPlan plan = firstPlan(ring(20, 20, 20, 20, 20), loads(14, 15, 10, 14, 10));

        FailoverPlan.Distribution distribution = distribution(plan, "s0");

        assertEquals(0, distribution.rejected(), TOLERANCE);
        assertEquals(Map.of("s1", 4.0, "s4", 8.0, "s2", 2.0), loadByTarget(distribution));
    }

    @Test
    void loadForWhichNoTargetHasCapacityIsRejected() {
        FailoverPlan plan = firstPlan(ring(20, 20, 20), loads(18, 18, 18));

        assertEquals(18 - 2 * 1.6, distribution(plan, "s1").rejected(), TOLERANCE);
    }

    @Test
    void anIneligibleSiteTakesNoLoad() {
        FailoverPlan plan = nextPlan(ring(20, 20, 20), loads(18, 18, 18), Set.of("s2"), FailoverPlan.EMPTY);

        assertEquals(Map.of("s0", 1.6), loadByTarget(distribution(plan, "s1")));
    }

    @Test
    void aPlanStaysWhileANewOneWouldSaveLittle() {
        Sites sites = ring(20, 20, 20, 20);
        FailoverPlan current = firstPlan(sites, loads(10, 10, 10, 10));

        assertEquals(current, nextPlan(sites, loads(10.2, 9.9, 10.1, 10), Set.of(), current));
    }

    @Test
    void aPlanThatOverloadsItsTargetsIsReplaced() {
        Sites sites = ring(20, 20, 20, 20);
        FailoverPlan current = firstPlan(sites, loads(10, 10, 10, 10));

        assertNotEquals(current, nextPlan(sites, loads(10, 18, 10, 18), Set.of(), current));
    }

    @Test
    void aSetOfLossesWithoutAPlanOverloadsNoTarget() {
        FailoverPlan plan = firstPlan(ring(20, 20, 20, 20), loads(10, 10, 10, 10));

        SortedMap<String, FailoverPlan.Distribution> distributions = plan.distributions(Set.of("s0", "s1", "s2"));

        double asked = distributions.values().stream()
                .flatMap(distribution -> distribution.allocations().stream())
                .filter(allocation -> allocation.site().equals("s3"))
                .mapToDouble(FailoverPlan.Allocation::max)
                .sum();
        assertTrue(asked <= 8 + TOLERANCE, "s3 can spare 8, asked for " + asked);
        assertTrue(
                distributions.values().stream()
                        .flatMap(distribution -> distribution.allocations().stream())
                        .allMatch(allocation -> allocation.site().equals("s3")),
                "no lost site is a target");
    }

    @Property(tries = 300)
    void everyPlanStaysWithinSpareCapacityAndAccountsForAllLoad(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 7) int count, @ForAll boolean solverGivesUp) {
        Random random = new Random(seed);
        double[] capacities = random.doubles(count, 1, 50).toArray();
        double[] loads = new double[count];
        for (int i = 0; i < count; i++) {
            loads[i] = capacities[i] * random.nextDouble() * 1.1;
        }
        Sites sites = ring(capacities);
        FailoverPlanRequest request = FailoverPlanRequest.first(loads(loads));
        FailoverPlanner planner = solverGivesUp ? new FailoverPlanner(FALLBACK_ONLY) : new FailoverPlanner();

        FailoverPlan plan = planner.plan(sites, request);

        assertEquals(plan, planner.plan(sites, request), "equal input, equal plan");
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
            assertTrue(max <= spare + TOLERANCE, lost + ": " + target + " can spare " + spare + ", asked for " + max);
            assertFalse(distributions.containsKey(target), lost + ": a lost site is a target");
        });
    }

    @Property(tries = 100)
    void theSolverRejectsNoMoreThanTheFallback(@ForAll long seed) {
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
            double bySolver = rejected(distributions);
            double byFallback = rejected(fallback.cases().get(lost));
            assertTrue(bySolver <= byFallback + TOLERANCE, lost + ": " + bySolver + " over " + byFallback);
        });
    }

    private static double rejected(SortedMap<String, FailoverPlan.Distribution> distributions) {
        return distributions.values().stream()
                .mapToDouble(FailoverPlan.Distribution::rejected)
                .sum();
    }
}
