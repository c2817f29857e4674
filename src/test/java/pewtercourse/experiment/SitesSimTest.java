package pewtercourse.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Simulates losses of sites over several seeds: checks the invariants and that the failover plan serves the lost load. */
class SitesSimTest {
    private static final int SEEDS = 6;

    private static SitesSim play(
            long seed, SitesSim.Strategy strategy, SitesSim.Incident incident, SitesSim.InjectedFault injectedFault) {
        return new SitesSim(seed, strategy, incident, injectedFault).run();
    }

    @ParameterizedTest
    @EnumSource(SitesSim.Incident.class)
    void noColdCacheOverloadsNoSideEffectRunsTwiceAndEachRequestGetsOneAnswer(SitesSim.Incident incident) {
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            SitesSim sim = play(seed, SitesSim.Strategy.PLANNED, incident, SitesSim.InjectedFault.NONE);
            assertNull(sim.violation, incident + " " + seed);
            assertEquals(0, sim.coldOverloadCount(), "overloads of cold caches: " + incident + " " + seed);
            assertEquals(0, sim.duplicateEffectCount(), "side effects executed twice: " + incident + " " + seed);
            assertEquals(0, sim.unansweredCount(), "requests without an answer: " + incident + " " + seed);
            boolean lost = incident != SitesSim.Incident.SEEN_BY_HALF && incident != SitesSim.Incident.SLOW;
            assertEquals(lost, sim.lossDeclaredAt >= 0, "declared lost: " + incident + " " + seed);
            assertEquals(0, sim.falseAlarmCount, "living sites declared lost: " + incident + " " + seed);
        });
    }

    @Test
    void servesTheLoadOfALostSiteAtOtherSites() {
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            long from = SitesSim.lostAt() + 4 * SitesSim.SECOND;
            long to = SitesSim.recoveredAt();
            SitesSim alone = play(seed, SitesSim.Strategy.ALONE, SitesSim.Incident.ONE, SitesSim.InjectedFault.NONE);
            SitesSim planned =
                    play(seed, SitesSim.Strategy.PLANNED, SitesSim.Incident.ONE, SitesSim.InjectedFault.NONE);
            assertTrue(alone.servedWorthShare(from, to, 0) < 0.05, "alone " + alone.servedWorthShare(from, to, 0));
            assertTrue(planned.servedWorthShare(from, to, 0) > 0.4, "planned " + planned.servedWorthShare(from, to, 0));
            assertTrue(planned.remoteCount > 0);
        });
    }

    /** Without a limit on the failover targets, the clients of the sites that were not lost are served worse. */
    @Test
    void detectsInjectedFaults() {
        assertTrue(
                LongStream.range(0, SEEDS).parallel().anyMatch(seed -> {
                    SitesSim correct =
                            play(seed, SitesSim.Strategy.PLANNED, SitesSim.Incident.ONE, SitesSim.InjectedFault.NONE);
                    SitesSim broken = play(
                            seed, SitesSim.Strategy.PLANNED, SitesSim.Incident.ONE, SitesSim.InjectedFault.NO_BOUND);
                    return servedAtOtherSites(broken) < servedAtOtherSites(correct) - 0.02;
                }),
                "the missing limit on failover targets was not detected");
    }

    // Returns the mean share of worth served in time for the clients of the sites that were not lost.
    private static double servedAtOtherSites(SitesSim sim) {
        double sum = 0;
        for (int s = 1; s < 5; s++) {
            sum += sim.servedWorthShare(SitesSim.lostAt(), SitesSim.recoveredAt(), s);
        }
        return sum / 4;
    }

    @Test
    void sameSeedGivesTheSameResult() {
        SitesSim first = play(5, SitesSim.Strategy.PLANNED, SitesSim.Incident.FLAPS, SitesSim.InjectedFault.NONE);
        SitesSim second = play(5, SitesSim.Strategy.PLANNED, SitesSim.Incident.FLAPS, SitesSim.InjectedFault.NONE);
        assertEquals(first.clientRequests.size(), second.clientRequests.size());
        assertEquals(
                first.servedWorthShare(0, SitesSim.incidentEnds(), -1),
                second.servedWorthShare(0, SitesSim.incidentEnds(), -1));
        assertEquals(first.remoteCount, second.remoteCount);
    }

    @Test
    void declaresNoLossInHoursWithoutALoss() {
        assertEquals(
                0,
                LongStream.range(0, 8)
                        .parallel()
                        .map(i -> SitesExperiment.falseAlarms(i, 2, i % 2 == 0))
                        .sum());
    }
}
