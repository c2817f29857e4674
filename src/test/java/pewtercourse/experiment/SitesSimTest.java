package pewtercourse.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Losses of sites on a virtual clock, over seeds: what must hold in each, and what the plan is for. */
class SitesSimTest {
    private static final int SEEDS = 6;

    private static SitesSim play(long seed, SitesSim.Way way, SitesSim.Trouble trouble, SitesSim.Planted planted) {
        return new SitesSim(seed, way, trouble, planted).play();
    }

    @ParameterizedTest
    @EnumSource(SitesSim.Trouble.class)
    void noColdCacheFallsNoOrderRunsTwiceAndAllGetOneAnswer(SitesSim.Trouble trouble) {
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            SitesSim sim = play(seed, SitesSim.Way.PLANNED, trouble, SitesSim.Planted.NONE);
            assertNull(sim.trouble, trouble + " " + seed);
            assertEquals(0, sim.falls(), "cold caches that fell: " + trouble + " " + seed);
            assertEquals(0, sim.effectsTwice(), "orders run twice: " + trouble + " " + seed);
            assertEquals(0, sim.unanswered(), "no answer: " + trouble + " " + seed);
            boolean lost = trouble != SitesSim.Trouble.SEEN_BY_HALF && trouble != SitesSim.Trouble.SLOW;
            assertEquals(lost, sim.declaredAt >= 0, "declared lost: " + trouble + " " + seed);
            assertEquals(0, sim.falseAlarms, "a site that lives declared lost: " + trouble + " " + seed);
        });
    }

    @Test
    void theLoadOfALostSiteIsServedElsewhere() {
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            long from = SitesSim.lostAt() + 4 * SitesSim.SECOND, to = SitesSim.backAt();
            SitesSim alone = play(seed, SitesSim.Way.ALONE, SitesSim.Trouble.ONE, SitesSim.Planted.NONE);
            SitesSim planned = play(seed, SitesSim.Way.PLANNED, SitesSim.Trouble.ONE, SitesSim.Planted.NONE);
            assertTrue(alone.served(from, to, 0) < 0.05, "alone " + alone.served(from, to, 0));
            assertTrue(planned.served(from, to, 0) > 0.4, "planned " + planned.served(from, to, 0));
            assertTrue(planned.crossed > 0);
        });
    }

    /** What the return's steps and the takers' bounds are for shows where they are left out. */
    @Test
    void plantedFaultsAreFound() {
        assertTrue(
                LongStream.range(0, SEEDS).parallel().anyMatch(seed -> {
                    SitesSim whole = play(seed, SitesSim.Way.PLANNED, SitesSim.Trouble.ONE, SitesSim.Planted.NONE);
                    SitesSim broken = play(seed, SitesSim.Way.PLANNED, SitesSim.Trouble.ONE, SitesSim.Planted.NO_BOUND);
                    return others(broken) < others(whole) - 0.02;
                }),
                "takers without a bound lose nothing");
    }

    // The clients of sites that were never lost.
    private static double others(SitesSim sim) {
        double sum = 0;
        for (int s = 1; s < 5; s++) {
            sum += sim.served(SitesSim.lostAt(), SitesSim.backAt(), s);
        }
        return sum / 4;
    }

    @Test
    void aSeedPlaysTheSameAgain() {
        SitesSim a = play(5, SitesSim.Way.PLANNED, SitesSim.Trouble.FLAPS, SitesSim.Planted.NONE);
        SitesSim b = play(5, SitesSim.Way.PLANNED, SitesSim.Trouble.FLAPS, SitesSim.Planted.NONE);
        assertEquals(a.asked.size(), b.asked.size());
        assertEquals(a.served(0, SitesSim.incidentEnds(), -1), b.served(0, SitesSim.incidentEnds(), -1));
        assertEquals(a.crossed, b.crossed);
    }

    @Test
    void nothingIsDeclaredInHoursWithoutALoss() {
        assertEquals(
                0,
                LongStream.range(0, 8)
                        .parallel()
                        .map(i -> SitesExperiment.falseAlarms(i, 2, i % 2 == 0))
                        .sum());
    }
}
