package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import pewtercourse.hash.StableHash;

class OverflowRouterTest {
    private static final long SECOND = 1_000_000;
    private static final long MAX_RETRY_AFTER = 500_000;
    private static final long OBJECTIVE = 600_000;
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final Sites SITES = TestSites.ring(20, 20, 20, 20);

    /** The state in which s0 is in this phase, with this load planned for it. */
    private static FailoverState state(SiteStatus.Phase phase, int step, double load) {
        FailoverState state = TestSites.planned(SITES, load, 10, 10, 10);
        state.changeStatus(1, new SiteStatusChange("s0", phase, SiteHealth.CACHES, step, 0, 0));
        return state;
    }

    /** The router of a director of s0; it makes no trials at home. */
    private static OverflowRouter router(FailoverState state, long seed) {
        OverflowRouter router = new OverflowRouter(SITES, "s0", MAX_RETRY_AFTER, seed);
        router.setOwnCachesListed(false);
        router.follow(0, state, 1);
        return router;
    }

    private static OverflowRequest read(long objectHash, double serviceMicros) {
        return new OverflowRequest(objectHash, 1, serviceMicros, OBJECTIVE, NO_DEADLINE, 0, false, false);
    }

    private static String chosenSite(OverflowRouter router, long now, OverflowRequest request) {
        return router.choose(now, request).site().orElseThrow();
    }

    @Test
    void whileTheOwnSiteIsWholeItServesEveryRequest() {
        OverflowRouter router = router(TestSites.planned(SITES, 20, 10, 10, 10), 1);

        assertFalse(router.diverting());
        assertEquals("s0", chosenSite(router, 0, read(1, 200_000)));
    }

    @Test
    void allDirectorsSendAnObjectToTheSameTargetInTheProportionsOfThePlan() {
        FailoverState state = state(SiteStatus.Phase.LOST, 0, 20);
        OverflowRouter first = router(state, 1);
        OverflowRouter second = router(state, 2);
        int requests = 20_000;
        Map<String, Integer> counts = new TreeMap<>();

        for (int i = 0; i < requests; i++) {
            long farFromAnyLimit = i * SECOND;
            OverflowRequest request = read(StableHash.of("o" + i), 1);
            String target = chosenSite(first, farFromAnyLimit, request);
            assertEquals(target, chosenSite(second, farFromAnyLimit, request));
            counts.merge(target, 1, Integer::sum);
        }

        // 8 each at the two nearest, 4 at the third.
        assertEquals(0.4, counts.get("s1") / (double) requests, 0.02);
        assertEquals(0.4, counts.get("s3") / (double) requests, 0.02);
        assertEquals(0.2, counts.get("s2") / (double) requests, 0.02);
    }

    @Test
    void aFurtherRecoveryStepMovesNoObjectAwayAgain() {
        OverflowRouter atFirstStep = router(state(SiteStatus.Phase.RETURNING, 0, 12), 1);
        OverflowRouter atSecondStep = router(state(SiteStatus.Phase.RETURNING, 1, 12), 1);
        int requests = 10_000;
        int servedAtHome = 0;

        for (int i = 0; i < requests; i++) {
            OverflowRequest request = read(StableHash.of("o" + i), 1);
            boolean before = chosenSite(atFirstStep, i * SECOND, request).equals("s0");
            boolean after = chosenSite(atSecondStep, i * SECOND, request).equals("s0");
            assertTrue(!before || after);
            servedAtHome += before ? 1 : 0;
        }

        assertEquals(0.2, servedAtHome / (double) requests, 0.02);
    }

    @Test
    void noTargetGetsMoreThanItsSpareCapacityAndLowPrioritiesAreShedFirst() {
        // 24 can be spared, 40 are asked for: 200 requests a second of 200 ms each.
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);
        Random random = new Random(3);
        double[] weights = {1, 3};
        int[] asked = new int[2];
        int[] served = new int[2];
        Map<String, Double> serviceByTarget = new TreeMap<>();
        Set<Long> retryDelays = new HashSet<>();
        long end = 60 * SECOND;

        for (long now = 0; now < end; now += 5_000) {
            int priority = random.nextInt(2);
            asked[priority]++;
            OverflowDecision decision = router.choose(
                    now,
                    new OverflowRequest(
                            random.nextLong(),
                            weights[priority],
                            200_000,
                            OBJECTIVE,
                            now + 3 * SECOND,
                            200_000,
                            false,
                            false));
            if (decision.rejected()) {
                retryDelays.add(decision.retryAfterMicros());
            } else {
                served[priority]++;
                serviceByTarget.merge(decision.site().orElseThrow(), 200_000.0, Double::sum);
            }
        }

        serviceByTarget.forEach((site, service) ->
                assertTrue(service <= 8 * (end + SECOND) * 1.01, site + " got " + service / end + " at once"));
        assertTrue(served[1] > 0.9 * asked[1], "high priority: " + served[1] + " of " + asked[1]);
        assertTrue(served[0] < 0.4 * asked[0], "low priority: " + served[0] + " of " + asked[0]);
        assertTrue(retryDelays.stream().allMatch(delay -> delay >= 150_000 && delay <= MAX_RETRY_AFTER));
        assertTrue(retryDelays.size() > 1_000, "clients don't come back in step");
    }

    @Test
    void unconditionalRequestsAreNeverRejected() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);

        for (long now = 0; now < 20 * SECOND; now += 1_000) {
            router.choose(now, read(now, 300_000));
            OverflowRequest unconditional =
                    new OverflowRequest(now, 3, 30_000, OBJECTIVE, now + 1, 30_000, true, false);
            assertFalse(router.choose(now, unconditional).rejected());
        }
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejected() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 12), 1);
        OverflowRequest tooLate = new OverflowRequest(1, 2, 400_000, OBJECTIVE, 300_000, 400_000, false, false);

        assertEquals(Optional.empty(), router.choose(0, tooLate).site());
    }

    @Test
    void whileCachesOfALostSiteAreListedAFewRequestsAreTriedThere() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 12), 1);
        router.setOwnCachesListed(true);
        int trials = 0;

        for (long now = SECOND; now < 11 * SECOND; now += 10_000) {
            Optional<String> site = router.choose(now, read(now, 1_000)).site();
            trials += site.equals(Optional.of("s0")) ? 1 : 0;
        }

        assertTrue(trials >= 30 && trials <= 34, trials + " trials in ten seconds");
    }

    @Test
    void anAllocationIsDividedAmongThePresentDirectors() {
        FailoverState state = state(SiteStatus.Phase.LOST, 0, 40);

        double servedByOneOfTwo = servedServiceTime(state, 2);
        double servedByTheOnlyOne = servedServiceTime(state, 1);

        assertEquals(0.5, servedByOneOfTwo / servedByTheOnlyOne, 0.05);
    }

    private static double servedServiceTime(FailoverState state, int directors) {
        OverflowRouter router = router(state, 1);
        router.follow(0, state, directors);
        double served = 0;
        for (long now = 0; now < 60 * SECOND; now += 2_000) {
            served += router.choose(now, read(now * 7919, 200_000)).rejected() ? 0 : 200_000;
        }
        return served;
    }

    @Test
    void theTargetsOfThePlanAreUsed() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);

        assertEquals(Set.of("s1", "s2", "s3"), router.failoverTargets());
    }
}
