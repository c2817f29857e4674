package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** Seeing how sites are, declaring losses and pacing returns, at a controller that is told once a second. */
class FailoverControllerTest {
    private static final long SECOND = 1_000_000;
    private static final SiteObservation WELL = new SiteObservation(4, 4, 2, 2, 20, 1, 0, 0, 10),
            DEAD = new SiteObservation(4, 4, 2, 2, 0, 0, 20, 0, 10),
            UNLISTED = new SiteObservation(4, 0, 2, 2, 0, 0, 0, 0, 10),
            SLOW = new SiteObservation(4, 4, 2, 2, 3, 17, 0, 0, 10),
            NO_PARENTS = new SiteObservation(4, 4, 2, 0, 20, 1, 0, 0, 10),
            FAR = new SiteObservation(4, 4, 2, 2, 0, 0, 0, 0, 0),
            FAR_DEAD = new SiteObservation(4, 4, 2, 2, 0, 0, 6, 0, 0),
            FAR_WELL = new SiteObservation(4, 4, 2, 2, 6, 0, 0, 0, 0);

    private FailoverController failoverController;
    private FailoverState failover;
    private long now, entry;
    private final List<String> told = new ArrayList<>();

    @BeforeEach
    void start() {
        failoverController = new FailoverController(FailoverPlannerTest.sites(20, 20, 20, 20));
        failover = new FailoverState();
        now = 10 * SECOND;
        entry = 0;
        told.clear();
    }

    /** Some seconds in which d0 sees {@code own} of s0 and the others {@code far}; null is silence. */
    private void pass(int seconds, SiteObservation own, SiteObservation far, String... absent) {
        for (int i = 0; i < seconds; i++) {
            for (int m = 0; m < 4; m++) {
                SiteObservation s = m == 0 ? own : far;
                if (s != null) {
                    Map<String, SiteObservation> siteObservations = new TreeMap<>(Map.of("s0", s));
                    if (m > 0) {
                        siteObservations.put("s" + m, WELL);
                    }
                    failoverController.detector().see(now, "d" + m, siteObservations);
                }
            }
            for (int t = 0; t < 10; t++) {
                now += SECOND / 10;
                for (FailoverController.Declaration d : failoverController.orders(now, failover, Set.of(absent))) {
                    assertTrue(
                            failover.declare(++entry, d.site(), d.phase(), d.health(), d.step(), d.flaps(), d.after()));
                    told.add(d.site() + " " + d.phase() + " " + d.health() + " " + d.step());
                }
            }
        }
    }

    private SiteStatus.Phase phase() {
        return failover.status("s0").phase();
    }

    @Test
    void cachesThatFailAreALossAfterAWhileAndNotBefore() {
        pass(5, WELL, FAR);
        assertEquals(List.of(), told);
        pass(1, DEAD, FAR);
        assertEquals(List.of(), told, "not in the first second");
        pass(2, DEAD, FAR);
        assertEquals(List.of("s0 LOST CACHES 0"), told);
    }

    @Test
    void aSiteWithItsDirectorsIsAnotherLossThanWithout() {
        pass(3, WELL, FAR);
        pass(6, null, FAR_DEAD, "d0");
        assertEquals(SiteHealth.ALL, failover.status("s0").health());
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void silentDirectorsAreNoLossOfTheCaches() {
        pass(3, WELL, FAR);
        pass(6, null, FAR_WELL, "d0");
        assertEquals(
                new SiteStatus(SiteStatus.Phase.IMPAIRED, SiteHealth.DIRECTORS, 0, 0, false, false, 1),
                failover.status("s0"));
        pass(3, WELL, FAR_WELL);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void whatOnlyOthersCannotReachIsNotLost() {
        pass(10, WELL, FAR_DEAD);
        assertFalse(phase() == SiteStatus.Phase.LOST, told::toString);
    }

    @Test
    void aListThatIsEmptyAtOneMemberOrWhileAttemptsSucceedIsNoLoss() {
        pass(3, WELL, FAR);
        pass(6, new SiteObservation(4, 0, 2, 2, 20, 0, 0, 0, 10), FAR);
        pass(6, new SiteObservation(4, 0, 2, 2, 20, 0, 0, 0, 10), UNLISTED);
        assertFalse(phase() == SiteStatus.Phase.LOST, told::toString);
        pass(4, UNLISTED, UNLISTED);
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aSlowSiteAndOneWithoutParentsAreImpaired() {
        pass(3, SLOW, FAR);
        assertEquals(SiteHealth.SLOW, failover.status("s0").health());
        pass(4, WELL, FAR);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
        pass(3, NO_PARENTS, NO_PARENTS);
        assertEquals(SiteHealth.PARENTS, failover.status("s0").health());
        assertFalse(failover.away().contains("s0"));
    }

    @Test
    void itReturnsStepByStepAndStepsBackOnTrouble() {
        pass(4, DEAD, FAR);
        pass(2, UNLISTED, UNLISTED);
        told.clear();
        pass(8, WELL, FAR);
        assertEquals(
                List.of("s0 RETURNING CACHES 0", "s0 RETURNING CACHES 1", "s0 RETURNING CACHES 2", "s0 WHOLE WELL 0"),
                told);
        pass(4, DEAD, FAR);
        pass(4, WELL, FAR);
        int before = failover.status("s0").step();
        pass(2, new SiteObservation(4, 4, 2, 2, 15, 0, 6, 0, 10), FAR);
        assertTrue(failover.status("s0").step() < before || phase() == SiteStatus.Phase.LOST, told::toString);
    }

    @Test
    void slowAnswersHoldAStepAndDoNotUndoIt() {
        pass(4, DEAD, FAR);
        pass(4, WELL, FAR);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        int step = failover.status("s0").step();
        pass(6, new SiteObservation(4, 4, 2, 2, 6, 14, 0, 0, 10), FAR);
        assertEquals(SiteStatus.Phase.RETURNING, phase());
        assertTrue(failover.status("s0").step() <= step + 1, told::toString);
    }

    @Test
    void oneThatFlapsWaitsLongerEachTime() {
        List<Integer> waits = new ArrayList<>();
        for (int flap = 0; flap < 4; flap++) {
            pass(4, DEAD, FAR);
            assertEquals(SiteStatus.Phase.LOST, phase());
            int seconds = 0;
            while (phase() == SiteStatus.Phase.LOST) {
                pass(1, WELL, FAR);
                seconds++;
            }
            waits.add(seconds);
            pass(1, WELL, FAR);
        }
        assertTrue(
                waits.get(1) > waits.get(0) && waits.get(2) > waits.get(1) && waits.get(3) > waits.get(2),
                waits::toString);
    }

    @Test
    void aDrillTakesItOutByStepsAndLettingGoBringsItBack() {
        pass(3, WELL, FAR);
        assertTrue(failover.drill(++entry, "s0", 0));
        pass(6, WELL, FAR);
        assertEquals(List.of("s0 RETURNING WELL 1", "s0 RETURNING WELL 0", "s0 LOST WELL 0"), told);
        pass(10, WELL, FAR);
        assertEquals(SiteStatus.Phase.LOST, phase(), "until it is let go");
        assertTrue(failover.hold(++entry, "s0", false, failover.status("s0").entry()));
        pass(12, WELL, FAR);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
    }

    @Test
    void oneThatIsHeldStaysWhereItIs() {
        pass(4, DEAD, FAR);
        assertTrue(failover.hold(++entry, "s0", true, failover.status("s0").entry()));
        pass(20, WELL, FAR);
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aChangeThatBuildsOnAnOlderOneIsRefused() {
        assertTrue(failover.declare(1, "s0", SiteStatus.Phase.LOST, SiteHealth.CACHES, 0, 0, 0));
        assertFalse(failover.declare(2, "s0", SiteStatus.Phase.WHOLE, SiteHealth.WELL, 0, 0, 0));
        assertFalse(failover.hold(3, "s0", true, 0));
        assertEquals(SiteStatus.Phase.LOST, phase());
    }

    @Test
    void aNewHolderGoesOnFromTheAgreedStep() {
        pass(4, DEAD, FAR);
        pass(5, WELL, FAR);
        SiteStatus before = failover.status("s0");
        assertEquals(SiteStatus.Phase.RETURNING, before.phase());
        failoverController = new FailoverController(FailoverPlannerTest.sites(20, 20, 20, 20));
        told.clear();
        pass(8, WELL, FAR);
        assertEquals(SiteStatus.Phase.WHOLE, phase());
        assertTrue(told.stream().noneMatch(t -> t.contains("LOST")), told::toString);
    }

    /** Whatever is seen: only the changes that there are, one step at a time, and none without a sign that lasts. */
    @Property(tries = 200)
    void onlyKnownChangesAreMade(@ForAll long seed) {
        start();
        Random random = new Random(seed);
        SiteObservation[] own = {WELL, DEAD, UNLISTED, SLOW, NO_PARENTS, null};
        SiteObservation[] far = {FAR, FAR_DEAD, FAR_WELL, UNLISTED, null};
        SiteStatus before = failover.status("s0");
        for (int i = 0; i < 40; i++) {
            if (random.nextInt(8) == 0) {
                SiteStatus s = failover.status("s0");
                boolean done = random.nextBoolean()
                        ? failover.hold(++entry, "s0", random.nextBoolean(), s.entry())
                        : failover.drill(++entry, "s0", s.entry());
                assertTrue(done);
                before = failover.status("s0");
            }
            SiteObservation mine = own[random.nextInt(own.length)];
            for (int s = 1 + random.nextInt(4); s > 0; s--) {
                told.clear();
                pass(1, mine, far[random.nextInt(far.length)], mine == null ? new String[] {"d0"} : new String[0]);
                for (String t : told) {
                    String[] word = t.split(" ");
                    if (word[0].equals("s0")) {
                        SiteStatus.Phase to = SiteStatus.Phase.valueOf(word[1]);
                        int step = Integer.parseInt(word[3]);
                        assertTrue(legal(before, to, step), before + " to " + t);
                        before = new SiteStatus(
                                to, SiteHealth.valueOf(word[2]), step, 0, before.held(), before.drill(), 0);
                    }
                }
            }
        }
    }

    private static boolean legal(SiteStatus from, SiteStatus.Phase to, int step) {
        int last = 2;
        return switch (from.phase()) {
            case WHOLE, IMPAIRED -> to != SiteStatus.Phase.RETURNING || from.drill() && step == last - 1;
            case LOST -> to == SiteStatus.Phase.RETURNING && step == 0 && !from.held();
            case RETURNING ->
                to == SiteStatus.Phase.LOST
                        || to == SiteStatus.Phase.WHOLE && from.step() == last
                        || to == SiteStatus.Phase.RETURNING && Math.abs(step - from.step()) == 1;
        };
    }
}
