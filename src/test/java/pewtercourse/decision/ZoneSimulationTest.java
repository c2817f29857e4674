package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.decision.ZoneSimulation.Restart;

/** What all routers of a zone do together, over many seeds and sizes of the fleet. */
class ZoneSimulationTest {
    private static final int SEEDS = 6;

    // From a usual day to a burst far over what the zone can do: only there does what all routers send come near a cold
    // cache's budget.
    private static final double[] LOADS = {0.55, 1.1, 1.6, 2.5};

    private static void coldCachesBear(int routers, Restart restart) {
        for (double load : LOADS) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                double over =
                        new ZoneSimulation(routers, load, restart, seed).play().worstOver();
                assertTrue(over <= 0, routers + " routers, load " + load + ", seed " + seed + ": over by " + over);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 20, 30, 100})
    void oneColdCacheBearsWhatAllRoutersSend(int routers) {
        coldCachesBear(routers, Restart.ONE);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 20, 30, 100})
    void aZoneThatIsColdAsAWholeBearsWhatAllRoutersSend(int routers) {
        coldCachesBear(routers, Restart.ALL);
    }

    // Of what is served of all, at least this share of the largest tenth and of the next fifth.
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
    void largeRequestsGetTheirShare(int routers, double load, Restart restart, double least) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            ZoneSimulation s = new ZoneSimulation(routers, load, restart, seed).play();
            String which = routers + " routers, seed " + seed + ": " + s.served(0.9, 1) + " and " + s.served(0.7, 0.9)
                    + " of " + s.served(0, 1);
            assertTrue(s.served(0.9, 1) >= least * s.served(0, 1), which);
            assertTrue(s.served(0.7, 0.9) >= least * s.served(0, 1), which);
        }
    }
}
