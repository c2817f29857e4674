package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.decision.ZoneSimulation.Restart;

/** Checks what all routers of a zone do together, over several seeds, loads and numbers of routers. */
class ZoneSimulationTest {
    private static final int SEEDS = 6;
    private static final int FAULT_SEEDS = 20;

    // From normal load to a burst far above what the zone can serve. Only in such a burst do the requests of all
    // routers come near the budget of a cache in slow start.
    private static final double[] LOADS = {0.55, 1.1, 1.6, 2.5};

    private static void assertCachesStayWithinSlowStartBudget(int routerCount, Restart restart) {
        for (double load : LOADS) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                double excessRequests = new ZoneSimulation(routerCount, load, restart, seed)
                        .play()
                        .maxExcessRequests();
                assertTrue(
                        excessRequests <= 0,
                        routerCount + " routers, load " + load + ", seed " + seed + ": requests above the budget: "
                                + excessRequests);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 20, 30, 100})
    void allRoutersTogetherStayWithinTheBudgetOfOneCacheInSlowStart(int routerCount) {
        assertCachesStayWithinSlowStartBudget(routerCount, Restart.ONE);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 20, 30, 100})
    void allRoutersTogetherStayWithinTheBudgetsAfterAllCachesRestart(int routerCount) {
        assertCachesStayWithinSlowStartBudget(routerCount, Restart.ALL);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 12, 30})
    void cachesInSlowStartStayWithinTheirBudgetUnderFaults(int routerCount) {
        for (double load : LOADS) {
            for (int seed = 1; seed <= FAULT_SEEDS; seed++) {
                ZoneFaults faults = ZoneFaults.draw(routerCount, ZoneSimulation.CACHES, 7_000 * routerCount + seed);
                double excessRequests = new ZoneSimulation(routerCount, load, Restart.ALL, seed, faults)
                        .play()
                        .maxExcessRequests();
                assertTrue(
                        excessRequests <= 0,
                        routerCount + " routers, load " + load + ", seed " + seed + ": requests above the budget: "
                                + excessRequests);
            }
        }
    }

    // Before the restart these zones served mostly small requests, at a load far above their capacity.
    @ParameterizedTest
    @ValueSource(ints = {99, 148})
    void aCapacityLearnedFromSmallRequestsIsNotOverestimated(int seed) {
        ZoneFaults faults = ZoneFaults.draw(1, ZoneSimulation.CACHES, 7_000 + seed);
        double excessRequests =
                new ZoneSimulation(1, 2.5, Restart.ALL, seed, faults).play().maxExcessRequests();
        assertTrue(excessRequests <= 0, "requests above the budget: " + excessRequests);
    }

    // The last parameter is the least share served of the largest tenth of the requests, and of the fifth below
    // it, as a part of the share served of all requests.
    @ParameterizedTest
    @CsvSource({
        "4, 0.5, NONE, 0.667",
        "20, 0.5, NONE, 0.667",
        "100, 0.5, NONE, 0.667",
        "4, 1.1, NONE, 0.5",
        "20, 1.1, NONE, 0.5",
        "100, 1.1, NONE, 0.5",
        "4, 0.55, ALL, 0.5",
        "20, 0.55, ALL, 0.5",
        "100, 0.55, ALL, 0.5"
    })
    void largeRequestsAreServedAtAMinimumRateRelativeToAllRequests(
            int routerCount, double load, Restart restart, double minRelativeShare) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            ZoneSimulation zone = new ZoneSimulation(routerCount, load, restart, seed).play();
            String servedShares = routerCount + " routers, seed " + seed + ": served " + zone.servedShare(0.9, 1)
                    + " and " + zone.servedShare(0.7, 0.9) + ", of all " + zone.servedShare(0, 1);
            assertTrue(zone.servedShare(0.9, 1) >= minRelativeShare * zone.servedShare(0, 1), servedShares);
            assertTrue(zone.servedShare(0.7, 0.9) >= minRelativeShare * zone.servedShare(0, 1), servedShares);
        }
    }
}
