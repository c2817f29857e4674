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
 * Detection of losses and pacing of recoveries, at a controller that gets one report a second from each of four
 * members.
 */
class FailoverControllerTest {
    private static final long SECOND = 1_000_000;
    private static final int MEMBERS = 4;
    private static final int CONTROLS_PER_SECOND = 10;
    private static final SiteObservation SILENT = null;

    // What s0's own director sees of it.
    private static final SiteObservation WELL = observation(4, 2, new AttemptCounts(20, 1, 0, 0), 10);
    private static final SiteObservation DEAD = observation(4, 2, new AttemptCounts(0, 0, 20, 0), 10);
    private static final SiteObservation UNLISTED = observation(0, 2, AttemptCounts.NONE, 10);
    private static final SiteObservation UNLISTED_YET_WELL = observation(0, 2, new AttemptCounts(20, 0, 0, 0), 10);
    private static final SiteObservation SLOW = observation(4, 2, new AttemptCounts(3, 17, 0, 0), 10);
    private static final SiteObservation RATHER_SLOW = observation(4, 2, new AttemptCounts(6, 14, 0, 0), 10);
    private static final SiteObservation SOME_FAIL = observation(4, 2, new AttemptCounts(15, 0, 6, 0), 10);
    private static final SiteObservation NO_PARENTS = observation(4, 0, new AttemptCounts(20, 1, 0, 0), 10);
    // What the other members see of it.
    private static final SiteObservation FAR = observation(4, 2, AttemptCounts.NONE, 0);
    private static final SiteObservation FAR_DEAD = observation(4, 2, new AttemptCounts(0, 0, 6, 0), 0);
    private static final SiteObservation FAR_WELL = observation(4, 2, new AttemptCounts(6, 0, 0, 0), 0);

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

    /** Some seconds in which s0's director d0 sees {@code own} of it, and the others {@code far}. */
    private void pass(int seconds, SiteObservation own, SiteObservation far, String... absent) {
        for (int second = 0; second < seconds; second++) {
            for (int member = 0; member < MEMBERS; member++) {
                report(member, member == 0 ? own : far);
            }
            for (int i = 0; i < CONTROLS_PER_SECOND; i++) {
                now += SECOND / CONTROLS_PER_SECOND;
                agreeOnProposedChanges(Set.of(absent));
            }
        }
    }

    private void report(int member, SiteObservation ofFirstSite) {
        if (ofFirstSite == SILENT) {
            return;
        }
        Map<String, SiteObservation> bySite = new TreeMap<>(Map.of("s0", ofFirstSite));
        if (member > 0) {
            bySite.put("s" + member, WELL);
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
    void failingCachesAreALossOnceTheSignsLast() {
        pass(5, WELL, FAR);
        assertEquals(List.of(), changes);

        pass(1, DEAD, FAR);
        assertEquals(List.of(), changes, "not in the first second");

        pass(2, DEAD, FAR);
        assertEquals(List.of("s0 LOST CACHES 0"), changesAsText());
    }

    @Test
    void aSiteThatIsLostWithItsDirectorsHasAllLost() {
        pass(3, WELL, FAR);
        pass(6, SILENT, FAR_DEAD, "d0");

        assertEquals(SiteHealth.ALL, state.status("s0").health());
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void silentDirectorsImpairASiteAndAreNoLossOfItsCaches() {
        pass(3, WELL, FAR);
        pass(6, SILENT, FAR_WELL, "d0");
        assertEquals(
                new SiteStatus(SiteStatus.Phase.IMPAIRED, SiteHealth.DIRECTORS, 0, 0, false, false, 1),
                state.status("s0"));

        pass(3, WELL, FAR_WELL);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void aSiteThatOnlyOtherSitesCannotReachIsNotLost() {
        pass(10, WELL, FAR_DEAD);

        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);
    }

    @Test
    void anEmptyListAtOneMemberIsNoLoss() {
        pass(3, WELL, FAR);
        pass(6, UNLISTED_YET_WELL, FAR);

        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);
    }

    @Test
    void anEmptyListIsNoLossWhileAttemptsSucceed() {
        pass(3, WELL, FAR);
        pass(6, UNLISTED_YET_WELL, FAR);
        pass(6, UNLISTED_YET_WELL, UNLISTED);
        assertNotEquals(SiteStatus.Phase.LOST, phase(), changes::toString);

        pass(4, UNLISTED, UNLISTED);
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aSlowSiteIsImpairedUntilItIsWell() {
        pass(3, SLOW, FAR);
        assertEquals(SiteHealth.SLOW, state.status("s0").health());

        pass(4, WELL, FAR);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void aSiteWithoutParentsIsImpairedAndKeepsItsClients() {
        pass(7, WELL, FAR);
        pass(3, NO_PARENTS, NO_PARENTS);

        assertEquals(SiteHealth.PARENTS, state.status("s0").health());
        assertFalse(state.divertedSites().contains("s0"));
    }

    @Test
    void aSiteRecoversStepByStep() {
        pass(4, DEAD, FAR);
        pass(2, UNLISTED, UNLISTED);
        changes.clear();

        pass(8, WELL, FAR);

        assertEquals(
                List.of("s0 RETURNING CACHES 0", "s0 RETURNING CACHES 1", "s0 RETURNING CACHES 2", "s0 WHOLE WELL 0"),
                changesAsText());
    }

    @Test
    void aRecoveringSiteStepsBackWhenAttemptsFail() {
        pass(4, DEAD, FAR);
        pass(2, UNLISTED, UNLISTED);
        pass(8, WELL, FAR);
        pass(4, DEAD, FAR);
        pass(4, WELL, FAR);
        int step = state.status("s0").step();

        pass(2, SOME_FAIL, FAR);

        assertTrue(state.status("s0").step() < step || phase() == SiteStatus.Phase.LOST, changes::toString);
    }

    @Test
    void slowAnswersHoldARecoveryStepAndDoNotUndoIt() {
        pass(4, DEAD, FAR);
        pass(4, WELL, FAR);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        int step = state.status("s0").step();

        pass(6, RATHER_SLOW, FAR);

        assertEquals(SiteStatus.Phase.RETURNING, phase());
        assertTrue(state.status("s0").step() <= step + 1, changes::toString);
    }

    @Test
    void aFlappingSiteWaitsLongerEachTime() {
        List<Integer> delays = new ArrayList<>();

        for (int flap = 0; flap < 4; flap++) {
            pass(4, DEAD, FAR);
            assertEquals(SiteStatus.Phase.LOST, phase());
            int seconds = 0;
            while (phase() == SiteStatus.Phase.LOST) {
                pass(1, WELL, FAR);
                seconds++;
            }
            delays.add(seconds);
            pass(1, WELL, FAR);
        }

        for (int i = 1; i < delays.size(); i++) {
            assertTrue(delays.get(i) > delays.get(i - 1), delays::toString);
        }
    }

    @Test
    void aDrillTakesASiteOutStepByStepUntilItIsReleased() {
        pass(3, WELL, FAR);
        assertTrue(state.startDrill(++logIndex, "s0", 0));

        pass(6, WELL, FAR);
        assertEquals(List.of("s0 RETURNING WELL 1", "s0 RETURNING WELL 0", "s0 LOST WELL 0"), changesAsText());
        pass(10, WELL, FAR);
        assertEquals(SiteStatus.Phase.LOST, phase(), "until it is released");

        assertTrue(state.setHeld(++logIndex, "s0", false, state.status("s0").lastChangeIndex()));
        pass(12, WELL, FAR);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void aHeldSiteDoesNotRecover() {
        pass(4, DEAD, FAR);
        assertTrue(state.setHeld(++logIndex, "s0", true, state.status("s0").lastChangeIndex()));

        pass(20, WELL, FAR);

        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aNewLeaseHolderGoesOnFromTheAgreedStep() {
        pass(4, DEAD, FAR);
        pass(5, WELL, FAR);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        controller = newController();
        changes.clear();

        pass(8, WELL, FAR);

        assertEquals(SiteStatus.Phase.WHOLE, phase());
        assertTrue(changes.stream().noneMatch(change -> change.phase() == SiteStatus.Phase.LOST), changes::toString);
    }

    /** Whatever is seen: no other transitions than these, and one step at a time. */
    @Property(tries = 200)
    void onlyKnownTransitionsAreMade(@ForAll long seed) {
        start();
        Random random = new Random(seed);
        SiteObservation[] ownViews = {WELL, DEAD, UNLISTED, SLOW, NO_PARENTS, SILENT};
        SiteObservation[] farViews = {FAR, FAR_DEAD, FAR_WELL, UNLISTED, SILENT};
        for (int i = 0; i < 40; i++) {
            if (random.nextInt(8) == 0) {
                assertTrue(giveRandomOrder(random));
            }
            SiteObservation own = ownViews[random.nextInt(ownViews.length)];
            String[] absent = own == SILENT ? new String[] {"d0"} : new String[0];
            for (int seconds = 1 + random.nextInt(4); seconds > 0; seconds--) {
                SiteStatus before = state.status("s0");
                changes.clear();
                pass(1, own, farViews[random.nextInt(farViews.length)], absent);
                assertKnownTransitions(before);
            }
        }
    }

    private boolean giveRandomOrder(Random random) {
        long expectedIndex = state.status("s0").lastChangeIndex();
        return random.nextBoolean()
                ? state.setHeld(++logIndex, "s0", random.nextBoolean(), expectedIndex)
                : state.startDrill(++logIndex, "s0", expectedIndex);
    }

    private void assertKnownTransitions(SiteStatus first) {
        SiteStatus before = first;
        for (SiteStatusChange change : changes) {
            if (change.site().equals("s0")) {
                assertTrue(known(before, change), before + " to " + change);
                before = before.with(change, 0);
            }
        }
    }

    private static boolean known(SiteStatus from, SiteStatusChange change) {
        int lastStep = TestSites.TIMING.lastStep();
        SiteStatus.Phase to = change.phase();
        return switch (from.phase()) {
            case WHOLE, IMPAIRED -> to != SiteStatus.Phase.RETURNING || from.drill() && change.step() == lastStep - 1;
            case LOST -> to == SiteStatus.Phase.RETURNING && change.step() == 0 && !from.held();
            case RETURNING ->
                to == SiteStatus.Phase.LOST
                        || to == SiteStatus.Phase.WHOLE && from.step() == lastStep
                        || to == SiteStatus.Phase.RETURNING && Math.abs(change.step() - from.step()) == 1;
        };
    }
}
