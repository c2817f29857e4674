package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the detection of losses and the pacing of recoveries by a controller that gets one report per second from each
 * of four members.
 */
class FailoverControllerTest {
    private static final long SECOND = 1_000_000;
    private static final int MEMBERS = 4;
    private static final int PROPOSALS_PER_SECOND = 10;
    private static final SiteObservation SILENT = null;

    // Observations of s0 by its own director.
    private static final SiteObservation HEALTHY = observation(4, 2, new AttemptCounts(20, 1, 0, 0), 10);
    private static final SiteObservation FAILING = observation(4, 2, new AttemptCounts(0, 0, 20, 0), 10);
    private static final SiteObservation UNLISTED = observation(0, 2, AttemptCounts.NONE, 10);
    private static final SiteObservation UNLISTED_BUT_HEALTHY = observation(0, 2, new AttemptCounts(20, 0, 0, 0), 10);
    private static final SiteObservation SLOW = observation(4, 2, new AttemptCounts(3, 17, 0, 0), 10);
    private static final SiteObservation MODERATELY_SLOW = observation(4, 2, new AttemptCounts(6, 14, 0, 0), 10);
    private static final SiteObservation SOME_FAILURES = observation(4, 2, new AttemptCounts(15, 0, 6, 0), 10);
    private static final SiteObservation NO_PARENTS = observation(4, 0, new AttemptCounts(20, 1, 0, 0), 10);
    // Observations of s0 by the other members.
    private static final SiteObservation REMOTE_WITHOUT_ATTEMPTS = observation(4, 2, AttemptCounts.NONE, 0);
    private static final SiteObservation REMOTE_FAILING = observation(4, 2, new AttemptCounts(0, 0, 6, 0), 0);
    private static final SiteObservation REMOTE_HEALTHY = observation(4, 2, new AttemptCounts(6, 0, 0, 0), 0);

    private FailoverController controller;
    private FailoverState state;
    private long now;
    private long logIndex;
    private final List<SiteStatusChange> changes = new ArrayList<>();

    private static SiteObservation observation(int readyCaches, int readyParents, AttemptCounts attempts, double load) {
        return new SiteObservation(
                new EndpointCount(4, readyCaches), new EndpointCount(2, readyParents), attempts, load);
    }

    @BeforeEach
    void start() {
        controller = newController();
        state = new FailoverState();
        now = 10 * SECOND;
        logIndex = 0;
        changes.clear();
    }

    private static FailoverController newController() {
        return new FailoverController(TestSites.ring(20, 20, 20, 20));
    }

    /** Runs for some seconds, in which d0, the director of s0, reports {@code own} for s0 and the others {@code remote}. */
    private void runSeconds(int seconds, SiteObservation own, SiteObservation remote, String... absent) {
        for (int second = 0; second < seconds; second++) {
            for (int member = 0; member < MEMBERS; member++) {
                report(member, member == 0 ? own : remote);
            }
            for (int i = 0; i < PROPOSALS_PER_SECOND; i++) {
                now += SECOND / PROPOSALS_PER_SECOND;
                agreeOnProposedChanges(Set.of(absent));
            }
        }
    }

    private void report(int member, SiteObservation observationOfS0) {
        if (observationOfS0 == SILENT) {
            return;
        }
        Map<String, SiteObservation> bySite = new TreeMap<>(Map.of("s0", observationOfS0));
        if (member > 0) {
            bySite.put("s" + member, HEALTHY);
        }
        controller.detector().observe(now, "d" + member, bySite);
    }

    private void agreeOnProposedChanges(Set<String> absent) {
        for (SiteStatusChange change : controller.proposeChanges(now, state, absent)) {
            assertTrue(state.changeStatus(++logIndex, change));
            changes.add(change);
        }
    }

    private SiteStatus.Phase phase() {
        return state.status("s0").phase();
    }

    private List<String> changesAsText() {
        return changes.stream()
                .map(change -> change.site() + " " + change.phase() + " " + change.health() + " " + change.step())
                .toList();
    }

    @Test
    void declaresALossOnceFailuresOfCachesPersist() {
        runSeconds(5, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(List.of(), changes);

        runSeconds(1, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(List.of(), changes, "no loss in the first second");

        runSeconds(2, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(List.of("s0 LOST CACHES 0"), changesAsText());
    }

    @Test
    void reportsHealthAllWhenCachesAndDirectorsAreLost() {
        runSeconds(3, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(6, SILENT, REMOTE_FAILING, "d0");

        assertEquals(SiteHealth.ALL, state.status("s0").health());
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void impairsASiteWithSilentDirectorsAndHealthyCaches() {
        runSeconds(3, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(6, SILENT, REMOTE_HEALTHY, "d0");
        assertEquals(
                new SiteStatus(SiteStatus.Phase.IMPAIRED, SiteHealth.DIRECTORS, 0, 0, false, false, 1),
                state.status("s0"));

        runSeconds(3, HEALTHY, REMOTE_HEALTHY);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void doesNotDeclareALossWhenOnlyOtherSitesCannotReachTheSite() {
        runSeconds(10, HEALTHY, REMOTE_FAILING);

        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);
    }

    @Test
    void doesNotDeclareALossWhenOneMemberHasAnEmptyEndpointList() {
        runSeconds(3, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(6, UNLISTED_BUT_HEALTHY, REMOTE_WITHOUT_ATTEMPTS);

        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);
    }

    @Test
    void doesNotDeclareALossForEmptyEndpointListsWhileAttemptsSucceed() {
        runSeconds(3, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(6, UNLISTED_BUT_HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(6, UNLISTED_BUT_HEALTHY, UNLISTED);
        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);

        runSeconds(4, UNLISTED, UNLISTED);
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void impairsASlowSiteUntilItIsHealthy() {
        runSeconds(3, SLOW, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteHealth.SLOW, state.status("s0").health());

        runSeconds(4, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void impairsASiteWithoutParentsAndKeepsItsClientsThere() {
        runSeconds(7, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(3, NO_PARENTS, NO_PARENTS);

        assertEquals(SiteHealth.PARENTS, state.status("s0").health());
        assertFalse(state.divertedSites().contains("s0"));
    }

    @Test
    void returnsLoadToARecoveringSiteStepByStep() {
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(2, UNLISTED, UNLISTED);
        changes.clear();

        runSeconds(8, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);

        assertEquals(
                List.of("s0 RETURNING CACHES 0", "s0 RETURNING CACHES 1", "s0 RETURNING CACHES 2", "s0 WHOLE WELL 0"),
                changesAsText());
    }

    @Test
    void stepsBackWhenAttemptsFailDuringRecovery() {
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(2, UNLISTED, UNLISTED);
        runSeconds(8, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(4, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        int step = state.status("s0").step();

        runSeconds(2, SOME_FAILURES, REMOTE_WITHOUT_ATTEMPTS);

        assertTrue(state.status("s0").step() < step || phase() == SiteStatus.Phase.LOST, changes::toString);
    }

    @Test
    void slowAnswersDelayTheNextRecoveryStepAndDoNotUndoTheRecovery() {
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(4, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        int step = state.status("s0").step();

        runSeconds(6, MODERATELY_SLOW, REMOTE_WITHOUT_ATTEMPTS);

        assertEquals(SiteStatus.Phase.RETURNING, phase());
        assertTrue(state.status("s0").step() <= step + 1, changes::toString);
    }

    @Test
    void lengthensTheRecoveryDelayAtEachFlap() {
        List<Integer> delays = new ArrayList<>();

        for (int flap = 0; flap < 4; flap++) {
            runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
            assertEquals(SiteStatus.Phase.LOST, phase());
            int seconds = 0;
            while (phase() == SiteStatus.Phase.LOST) {
                runSeconds(1, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
                seconds++;
            }
            delays.add(seconds);
            runSeconds(1, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        }

        for (int i = 1; i < delays.size(); i++) {
            assertTrue(delays.get(i) > delays.get(i - 1), delays::toString);
        }
    }

    @Test
    void aDrillDivertsLoadStepByStepUntilTheSiteIsReleased() {
        runSeconds(3, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertTrue(state.startDrill(++logIndex, "s0", 0));

        runSeconds(6, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(List.of("s0 RETURNING WELL 1", "s0 RETURNING WELL 0", "s0 LOST WELL 0"), changesAsText());
        runSeconds(10, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteStatus.Phase.LOST, phase(), "the drill lasts until the site is released");

        assertTrue(state.setHeld(++logIndex, "s0", false, state.status("s0").lastChangeIndex()));
        runSeconds(12, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void doesNotRecoverAHeldSite() {
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        assertTrue(state.setHeld(++logIndex, "s0", true, state.status("s0").lastChangeIndex()));

        runSeconds(20, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);

        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aNewLeaseHolderContinuesFromTheAgreedStep() {
        runSeconds(4, FAILING, REMOTE_WITHOUT_ATTEMPTS);
        runSeconds(5, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        controller = newController();
        changes.clear();

        runSeconds(8, HEALTHY, REMOTE_WITHOUT_ATTEMPTS);

        assertEquals(SiteStatus.Phase.WHOLE, phase());
        assertTrue(changes.stream().noneMatch(change -> change.phase() == SiteStatus.Phase.LOST), changes::toString);
    }

    /** Whatever the observations, only these transitions occur, and recovery changes by one step at a time. */
    @Property(tries = 200)
    void makesOnlyAllowedTransitionsForRandomObservations(@ForAll long seed) {
        start();
        Random random = new Random(seed);
        SiteObservation[] ownObservations = {HEALTHY, FAILING, UNLISTED, SLOW, NO_PARENTS, SILENT};
        SiteObservation[] remoteObservations = {
            REMOTE_WITHOUT_ATTEMPTS, REMOTE_FAILING, REMOTE_HEALTHY, UNLISTED, SILENT
        };
        for (int i = 0; i < 40; i++) {
            if (random.nextInt(8) == 0) {
                assertTrue(applyRandomOperatorCommand(random));
            }
            SiteObservation own = ownObservations[random.nextInt(ownObservations.length)];
            String[] absent = own == SILENT ? new String[] {"d0"} : new String[0];
            for (int seconds = 1 + random.nextInt(4); seconds > 0; seconds--) {
                SiteStatus before = state.status("s0");
                changes.clear();
                runSeconds(1, own, remoteObservations[random.nextInt(remoteObservations.length)], absent);
                assertAllowedTransitions(before);
            }
        }
    }

    private boolean applyRandomOperatorCommand(Random random) {
        long expectedIndex = state.status("s0").lastChangeIndex();
        return random.nextBoolean()
                ? state.setHeld(++logIndex, "s0", random.nextBoolean(), expectedIndex)
                : state.startDrill(++logIndex, "s0", expectedIndex);
    }

    private void assertAllowedTransitions(SiteStatus first) {
        SiteStatus before = first;
        for (SiteStatusChange change : changes) {
            if (change.site().equals("s0")) {
                assertTrue(isAllowed(before, change), before + " to " + change);
                before = before.with(change, 0);
            }
        }
    }

    private static boolean isAllowed(SiteStatus from, SiteStatusChange change) {
        int lastStep = TestSites.TIMING.lastStep();
        SiteStatus.Phase newPhase = change.phase();
        return switch (from.phase()) {
            case WHOLE, IMPAIRED ->
                newPhase != SiteStatus.Phase.RETURNING || from.drill() && change.step() == lastStep - 1;
            case LOST -> newPhase == SiteStatus.Phase.RETURNING && change.step() == 0 && !from.held();
            case RETURNING ->
                newPhase == SiteStatus.Phase.LOST
                        || newPhase == SiteStatus.Phase.WHOLE && from.step() == lastStep
                        || newPhase == SiteStatus.Phase.RETURNING && Math.abs(change.step() - from.step()) == 1;
        };
    }
}
