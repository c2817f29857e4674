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
    private static final long MAX_RETRY_AFTER_MICROS = 500_000;
    private static final long OBJECTIVE_MICROS = 600_000;
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final Sites SITES = TestSites.ring(20, 20, 20, 20);

    /** Returns a state in which s0 is in this phase and the plan was computed for this load of s0. */
    private static FailoverState state(SiteStatus.Phase phase, int step, double load) {
        FailoverState state = TestSites.planned(SITES, load, 10, 10, 10);
        state.changeStatus(1, new SiteStatusChange("s0", phase, SiteHealth.CACHES, step, 0, 0));
        return state;
    }

    /** Returns the router of a director of s0; it tries no requests at the lost site s0. */
    private static OverflowRouter router(FailoverState state, long seed) {
        OverflowRouter router = new OverflowRouter(SITES, "s0", MAX_RETRY_AFTER_MICROS, seed);
        router.setOwnCachesListed(false);
        router.follow(0, state, 1);
        return router;
    }

    private static OverflowRequest readRequest(long objectHash, double serviceMicros) {
        return new OverflowRequest(objectHash, 1, serviceMicros, OBJECTIVE_MICROS, NO_DEADLINE, 0, false, false);
    }

    private static String chosenSite(OverflowRouter router, long now, OverflowRequest request) {
        return router.choose(now, request).site().orElseThrow();
    }

    @Test
    void servesEveryRequestAtTheOwnSiteWhileItIsWhole() {
        OverflowRouter router = router(TestSites.planned(SITES, 20, 10, 10, 10), 1);

        assertFalse(router.diverting());
        assertEquals("s0", chosenSite(router, 0, readRequest(1, 200_000)));
    }

    @Test
    void directorsChooseTheSameTargetForAnObjectInTheProportionsOfThePlan() {
        FailoverState state = state(SiteStatus.Phase.LOST, 0, 20);
        OverflowRouter first = router(state, 1);
        OverflowRouter second = router(state, 2);
        int requests = 20_000;
        Map<String, Integer> counts = new TreeMap<>();

        for (int i = 0; i < requests; i++) {
            long timeWithoutLoad = i * SECOND;
            OverflowRequest request = readRequest(StableHash.of("o" + i), 1);
            String target = chosenSite(first, timeWithoutLoad, request);
            assertEquals(target, chosenSite(second, timeWithoutLoad, request));
            counts.merge(target, 1, Integer::sum);
        }

        // The plan allocates 8 to each of the two nearest targets and 4 to the third.
        assertEquals(0.4, counts.get("s1") / (double) requests, 0.02);
        assertEquals(0.4, counts.get("s3") / (double) requests, 0.02);
        assertEquals(0.2, counts.get("s2") / (double) requests, 0.02);
    }

    @Test
    void aFurtherRecoveryStepKeepsReturnedObjectsAtTheOwnSite() {
        OverflowRouter atFirstStep = router(state(SiteStatus.Phase.RETURNING, 0, 12), 1);
        OverflowRouter atSecondStep = router(state(SiteStatus.Phase.RETURNING, 1, 12), 1);
        int requests = 10_000;
        int servedAtOwnSite = 0;

        for (int i = 0; i < requests; i++) {
            OverflowRequest request = readRequest(StableHash.of("o" + i), 1);
            boolean servedAtFirstStep =
                    chosenSite(atFirstStep, i * SECOND, request).equals("s0");
            boolean servedAtSecondStep =
                    chosenSite(atSecondStep, i * SECOND, request).equals("s0");
            assertTrue(!servedAtFirstStep || servedAtSecondStep);
            servedAtOwnSite += servedAtFirstStep ? 1 : 0;
        }

        assertEquals(0.2, servedAtOwnSite / (double) requests, 0.02);
    }

    @Test
    void loadsNoTargetBeyondItsSpareCapacityAndShedsLowPrioritiesFirst() {
        // The clients request 40 transfers (200 requests per second of 200 ms each); the spare capacity is 24.
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);
        Random random = new Random(3);
        double[] weights = {1, 3};
        int[] requested = new int[2];
        int[] served = new int[2];
        Map<String, Double> serviceByTarget = new TreeMap<>();
        Set<Long> retryDelays = new HashSet<>();
        long end = 60 * SECOND;

        for (long now = 0; now < end; now += 5_000) {
            int priority = random.nextInt(2);
            requested[priority]++;
            OverflowDecision decision = router.choose(
                    now,
                    new OverflowRequest(
                            random.nextLong(),
                            weights[priority],
                            200_000,
                            OBJECTIVE_MICROS,
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

        serviceByTarget.forEach((site, service) -> assertTrue(
                service <= 8 * (end + SECOND) * 1.01, site + " got " + service / end + " concurrent transfers"));
        assertTrue(served[1] > 0.9 * requested[1], "high priority: " + served[1] + " of " + requested[1]);
        assertTrue(served[0] < 0.4 * requested[0], "low priority: " + served[0] + " of " + requested[0]);
        assertTrue(retryDelays.stream().allMatch(delay -> delay >= 150_000 && delay <= MAX_RETRY_AFTER_MICROS));
        assertTrue(retryDelays.size() > 1_000, "retry delays must be spread");
    }

    @Test
    void neverRejectsUnconditionalRequests() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);

        for (long now = 0; now < 20 * SECOND; now += 1_000) {
            router.choose(now, readRequest(now, 300_000));
            OverflowRequest unconditional =
                    new OverflowRequest(now, 3, 30_000, OBJECTIVE_MICROS, now + 1, 30_000, true, false);
            assertFalse(router.choose(now, unconditional).rejected());
        }
    }

    @Test
    void rejectsARequestThatCannotMeetItsDeadline() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 12), 1);
        OverflowRequest tooLate = new OverflowRequest(1, 2, 400_000, OBJECTIVE_MICROS, 300_000, 400_000, false, false);

        assertEquals(Optional.empty(), router.choose(0, tooLate).site());
    }

    @Test
    void triesAFewRequestsAtALostSiteWhileItsCachesAreListed() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 12), 1);
        router.setOwnCachesListed(true);
        int trials = 0;

        for (long now = SECOND; now < 11 * SECOND; now += 10_000) {
            Optional<String> site = router.choose(now, readRequest(now, 1_000)).site();
            trials += site.equals(Optional.of("s0")) ? 1 : 0;
        }

        assertTrue(trials >= 30 && trials <= 34, trials + " trials in ten seconds");
    }

    @Test
    void dividesAnAllocationAmongThePresentDirectors() {
        FailoverState state = state(SiteStatus.Phase.LOST, 0, 40);

        double servedByOneOfTwoDirectors = servedServiceTime(state, 2);
        double servedByOnlyDirector = servedServiceTime(state, 1);

        assertEquals(0.5, servedByOneOfTwoDirectors / servedByOnlyDirector, 0.05);
    }

    private static double servedServiceTime(FailoverState state, int directors) {
        OverflowRouter router = router(state, 1);
        router.follow(0, state, directors);
        double served = 0;
        for (long now = 0; now < 60 * SECOND; now += 2_000) {
            served += router.choose(now, readRequest(now * 7919, 200_000)).rejected() ? 0 : 200_000;
        }
        return served;
    }

    @Test
    void usesTheTargetsOfThePlan() {
        OverflowRouter router = router(state(SiteStatus.Phase.LOST, 0, 40), 1);

        assertEquals(Set.of("s1", "s2", "s3"), router.failoverTargets());
    }
}
