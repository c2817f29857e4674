package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.decision.RouterFixture.MILLIS;
import static pewtercourse.decision.RouterFixture.START_TIME;
import static pewtercourse.decision.RouterFixture.actionsOfType;
import static pewtercourse.decision.RouterFixture.cache;
import static pewtercourse.decision.RouterFixture.parent;
import static pewtercourse.decision.RouterFixture.singleAttempt;
import static pewtercourse.decision.RouterFixture.withLifecycle;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the decisions of {@link RoutingEngine} by the actions that it returns. */
class RoutingEngineTest {
    // ---- Placement, fills and access counts ----
    @Test
    void everyRouterChoosesTheSameCacheAndSourceWhateverTheOrderOfItsEndpointList() {
        RouterFixture firstRouter = new RouterFixture().start(RouterFixture.allEndpoints());
        RouterFixture secondRouter = new RouterFixture();
        secondRouter.routerIndex = 1;
        secondRouter.start(RouterFixture.ORIGIN, parent(12), parent(11), cache(4), cache(3), cache(2), cache(1));
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            SendAttempt attemptOfFirst = firstRouter.routeRequest("o" + i);
            SendAttempt attemptOfSecond = secondRouter.routeRequest("o" + i);
            assertEquals(attemptOfFirst.endpointId(), attemptOfSecond.endpointId());
            assertEquals(attemptOfFirst.fillSourceId(), attemptOfSecond.fillSourceId());
            cachesUsed.add(attemptOfFirst.endpointId());
            firstRouter.answerOk(attemptOfFirst, CacheStatus.FILLED);
            secondRouter.answerOk(attemptOfSecond, CacheStatus.FILLED);
        }
        assertEquals(4, cachesUsed.size());
    }

    @Test
    void removedCacheMovesOnlyTheObjectsThatItServed() {
        RouterFixture fourCaches = new RouterFixture().start(RouterFixture.allEndpoints());
        RouterFixture threeCaches =
                new RouterFixture().start(cache(1), cache(2), cache(3), parent(11), parent(12), RouterFixture.ORIGIN);
        for (int i = 0; i < 40; i++) {
            SendAttempt attemptWithFour = fourCaches.routeRequest("o" + i);
            SendAttempt attemptWithThree = threeCaches.routeRequest("o" + i);
            if (attemptWithFour.endpointId() != 4) {
                assertEquals(attemptWithFour.endpointId(), attemptWithThree.endpointId());
            }
            fourCaches.answerOk(attemptWithFour, CacheStatus.FILLED);
            threeCaches.answerOk(attemptWithThree, CacheStatus.FILLED);
        }
    }

    @Test
    void rareObjectStaysOnOneCacheAndPopularOneSpreadsToAllCachesButOne() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt first = fixture.routeRequest("hot");
        fixture.answerOk(first, CacheStatus.FILLED);
        SendAttempt second = fixture.routeRequest("hot");
        fixture.answerOk(second, CacheStatus.HIT);
        assertEquals(first.endpointId(), second.endpointId());
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            cachesUsed.add(attempt.endpointId());
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
        assertEquals(3, cachesUsed.size());
    }

    @Test
    void objectReturnsToOneCacheOnceItsAccessCountHasDecayed() {
        RouterFixture fixture = new RouterFixture();
        fixture.routerCount = 1;
        fixture.start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("hot");
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        for (int i = 0; i < 60; i++) {
            fixture.answerOk(fixture.routeRequest("hot"), CacheStatus.HIT);
        }
        fixture.now += 60_000 * MILLIS;
        for (int i = 0; i < 3; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            assertEquals(firstAttempt.endpointId(), attempt.endpointId());
            fixture.answerOk(attempt, CacheStatus.FILLED);
        }
    }

    @Test
    void requestsForOneObjectInOneBatchCountAsOneAccess() {
        RouterFixture fixture = new RouterFixture();
        fixture.routerCount = 1;
        fixture.start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("quiet");
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        List<RouterEvent> batch = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            batch.add(fixture.newRequest("quiet", 0));
        }
        for (SendAttempt attempt : actionsOfType(fixture.engine.handle(fixture.now, batch), SendAttempt.class)) {
            fixture.handle(new AttemptFinished(
                    attempt.requestId(),
                    0,
                    attempt.endpointId(),
                    AttemptOutcome.OK,
                    10 * MILLIS,
                    true,
                    CacheStatus.HIT));
        }
        assertEquals(firstAttempt.endpointId(), fixture.routeRequest("quiet").endpointId());
    }

    @Test
    void retentionRankGrowsWithTheAccessCount() {
        RouterFixture fixture = new RouterFixture();
        fixture.routerCount = 1;
        fixture.start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("a");
        assertEquals(1, attempt.retentionRank());
        fixture.answerOk(attempt, CacheStatus.FILLED);
        for (int i = 0; i < 30; i++) {
            attempt = fixture.routeRequest("a");
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
        assertEquals(3, attempt.retentionRank());
        for (int i = 0; i < 6; i++) {
            attempt = fixture.routeRequest("big");
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
        assertEquals(2, attempt.retentionRank());
    }

    /** Requests the object "hot" until it is popular enough for a second replica; returns the first attempt there. */
    private static SendAttempt routeUntilAnotherCacheIsChosen(RouterFixture fixture, SendAttempt firstAttempt) {
        for (int i = 0; i < 60; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            if (attempt.endpointId() != firstAttempt.endpointId()) {
                return attempt;
            }
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
        throw new AssertionError("all requests went to the first cache");
    }

    @Test
    void cacheWithoutACopyFillsFromASiblingAndAfterItsMissFromTheParent() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("hot");
        assertTrue(firstAttempt.fillSourceId() >= 11 && !firstAttempt.onlyIfCached());
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        SendAttempt siblingFill = routeUntilAnotherCacheIsChosen(fixture, firstAttempt);
        assertEquals(firstAttempt.endpointId(), siblingFill.fillSourceId());
        assertTrue(siblingFill.onlyIfCached());
        SendAttempt retry =
                singleAttempt(fixture.finishAttempt(siblingFill, 0, AttemptOutcome.MISS, CacheStatus.SOURCE_MISS));
        assertEquals(siblingFill.endpointId(), retry.endpointId());
        assertEquals(firstAttempt.fillSourceId(), retry.fillSourceId());
        assertFalse(retry.onlyIfCached());
    }

    @Test
    void noFillFromASiblingIsRequestedOnceTheContentHintHasExpired() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("hot");
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        routeUntilAnotherCacheIsChosen(fixture, firstAttempt);
        fixture.now += 13_000 * MILLIS;
        for (int i = 0; i < 20; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            assertFalse(attempt.onlyIfCached());
            fixture.finishAttempt(attempt, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN);
        }
    }

    @Test
    void fillsUseEveryParentAndTheOriginOnlyIfNoParentIsListed() {
        RouterFixture twoParents = new RouterFixture().start(RouterFixture.allEndpoints());
        RouterFixture oneParent = new RouterFixture().start(cache(1), cache(2), parent(12), RouterFixture.ORIGIN);
        RouterFixture noParent = new RouterFixture().start(cache(1), cache(2), RouterFixture.ORIGIN);
        Set<Long> sourcesUsed = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            SendAttempt withTwoParents = twoParents.routeRequest("o" + i);
            sourcesUsed.add(withTwoParents.fillSourceId());
            twoParents.answerOk(withTwoParents, CacheStatus.FILLED);
            SendAttempt withOneParent = oneParent.routeRequest("o" + i);
            assertEquals(12, withOneParent.fillSourceId());
            oneParent.answerOk(withOneParent, CacheStatus.FILLED);
            SendAttempt withoutParent = noParent.routeRequest("o" + i);
            assertEquals(21, withoutParent.fillSourceId());
            noParent.answerOk(withoutParent, CacheStatus.FILLED);
        }
        assertEquals(Set.of(11L, 12L), sourcesUsed);
    }

    @Test
    void failedFillIsRetriedAtTheSameCacheFromAnotherParent() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("x");
        SendAttempt retry =
                singleAttempt(fixture.finishAttempt(attempt, 0, AttemptOutcome.OVERLOADED, CacheStatus.SOURCE_FAILED));
        assertEquals(attempt.endpointId(), retry.endpointId());
        assertNotEquals(attempt.fillSourceId(), retry.fillSourceId());
        assertTrue(retry.fillSourceId() == 11 || retry.fillSourceId() == 12);
    }

    @Test
    void parentThatRejectsAllFillsIsAvoidedWhileItIsStillListed() {
        RouterFixture fixture = new RouterFixture();
        fixture.cacheStatusDetail = CacheStatusDetail.HITS;
        fixture.start(RouterFixture.allEndpoints());
        int attemptsViaFailingParent = 0;
        for (int i = 0; i < 60; i++) {
            fixture.now += 5 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("o" + i);
            if (attempt.fillSourceId() == 11) {
                attemptsViaFailingParent++;
                SendAttempt retry = singleAttempt(
                        fixture.finishAttempt(attempt, 0, AttemptOutcome.OVERLOADED, CacheStatus.UNKNOWN));
                assertNotEquals(11, retry.fillSourceId(), "retried with the same parent");
                fixture.finishAttempt(retry, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            } else {
                fixture.answerOk(attempt, CacheStatus.FILLED);
            }
        }
        assertTrue(
                attemptsViaFailingParent <= 6, attemptsViaFailingParent + " attempts filled from the failing parent");
    }

    @Test
    void requestThatFailsAtTwoCachesIsRejectedAndEjectsNeither() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 40; i++) {
            SendAttempt attempt = fixture.routeRequest("bad" + i);
            SendAttempt retry =
                    singleAttempt(fixture.finishAttempt(attempt, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
            assertEquals(
                    1,
                    actionsOfType(
                                    fixture.finishAttempt(retry, 1, AttemptOutcome.ERROR, CacheStatus.UNKNOWN),
                                    RejectRequest.class)
                            .size());
            fixture.answerOk(fixture.routeRequest("good" + i), CacheStatus.FILLED);
            fixture.answerOk(fixture.routeRequest("fine" + i), CacheStatus.FILLED);
            fixture.answerOk(fixture.routeRequest("well" + i), CacheStatus.FILLED);
        }
        java.util.Set<Long> cachesUsed = new java.util.HashSet<>();
        for (int i = 0; i < 60; i++) {
            SendAttempt attempt = fixture.routeRequest("o" + i);
            cachesUsed.add(attempt.endpointId());
            fixture.answerOk(attempt, CacheStatus.FILLED);
        }
        assertEquals(java.util.Set.of(1L, 2L, 3L, 4L), cachesUsed);
    }

    @Test
    void segmentsOfAPopularObjectAreSpreadOverItsReplicas() {
        RouterFixture fixture = new RouterFixture();
        fixture.segmented = true;
        fixture.start(RouterFixture.allEndpoints());
        for (int i = 0; i < 40; i++) {
            fixture.answerOk(singleAttempt(fixture.handle(fixture.newRequest("film", i % 10))), CacheStatus.FILLED);
        }
        SendAttempt first = singleAttempt(fixture.handle(fixture.newRequest("film", 3)));
        fixture.answerOk(first, CacheStatus.HIT);
        SendAttempt second = singleAttempt(fixture.handle(fixture.newRequest("film", 3)));
        assertEquals(first.endpointId(), second.endpointId());
        fixture.answerOk(second, CacheStatus.HIT);
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            SendAttempt attempt = singleAttempt(fixture.handle(fixture.newRequest("film", i)));
            cachesUsed.add(attempt.endpointId());
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
        assertEquals(3, cachesUsed.size());
    }

    @Test
    void accessCountsAreReportedToTheOwnerWhichRepliesWithTheirSums() {
        RouterFixture[] routers = {new RouterFixture(), new RouterFixture()};
        for (int i = 0; i < 2; i++) {
            routers[i].gossipEnabled = true;
            routers[i].routerIndex = i;
            routers[i].start(RouterFixture.allEndpoints());
        }
        int reports = 0;
        int replies = 0;
        for (int object = 0; object < 6; object++) {
            for (int i = 0; i < 6; i++) {
                routers[0].answerOk(routers[0].routeRequest("o" + object), CacheStatus.HIT);
            }
        }
        routers[1].now = routers[0].now;
        for (SendGossip report : actionsOfType(routers[0].advanceAndSweep(5000 * MILLIS), SendGossip.class)) {
            assertEquals(1, report.router());
            assertTrue(report.payload().length <= 256);
            reports++;
            for (SendGossip reply :
                    actionsOfType(routers[1].handle(new GossipReceived(0, report.payload())), SendGossip.class)) {
                assertEquals(0, reply.router());
                routers[0].handle(new GossipReceived(1, reply.payload()));
                replies++;
            }
        }
        assertTrue(reports > 0);
        assertEquals(reports, replies);
    }

    @Test
    void malformedGossipAndGossipFromUnknownRoutersAreIgnored() {
        RouterFixture fixture = new RouterFixture();
        fixture.gossipEnabled = true;
        fixture.start(RouterFixture.allEndpoints());
        byte[][] malformedPayloads = {{}, {1}, new byte[10], new byte[12], new byte[300], {1, 2, 3}, new byte[251]};
        for (byte[] payload : malformedPayloads) {
            assertEquals(List.of(), fixture.handle(new GossipReceived(1, payload)));
        }
        byte[] validReport = new byte[11];
        validReport[0] = 1;
        assertEquals(List.of(), fixture.handle(new GossipReceived(9, validReport)));
        assertEquals(1, fixture.handle(new GossipReceived(1, validReport)).size());
    }

    // ---- Deadlines, idempotency, slow start and purges ----
    @Test
    void requestWhoseAttemptsAllFailIsRejectedExactlyOnce() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("x");
        List<RouterAction> allActions = new ArrayList<>();
        int attempts = 0;
        while (attempts < 20) {
            List<RouterAction> actions =
                    fixture.finishAttempt(attempt, attempts++, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            allActions.addAll(actions);
            if (actionsOfType(actions, SendAttempt.class).isEmpty()) {
                break;
            }
            attempt = singleAttempt(actions);
        }
        assertEquals(1, actionsOfType(allActions, RejectRequest.class).size());
        assertTrue(attempts <= 8);
        assertEquals(List.of(), fixture.finishAttempt(attempt, attempts, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
    }

    @Test
    void requestIsRejectedAtOnceWhileTheEndpointListIsEmpty() {
        RouterFixture fixture = new RouterFixture().start();
        assertEquals(
                1,
                actionsOfType(fixture.submitRequest("x"), RejectRequest.class).size());
    }

    @Test
    void requestWhoseTransferCannotEndBeforeItsDeadlineIsRejected() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        List<RouterAction> actions = fixture.handle(
                new RequestArrived(5, 0, "x", 0, 1, 50_000, fixture.now + 3000 * MILLIS, false, null, false));
        assertEquals(1, actionsOfType(actions, RejectRequest.class).size());
    }

    @Test
    void nonIdempotentRequestIsFailedIfItMayHaveRunAndRetriedIfItDidNotConnect() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            RouterFixture fixture = new RouterFixture();
            fixture.idempotency = Idempotency.NON_IDEMPOTENT;
            fixture.start(RouterFixture.allEndpoints());
            List<RouterAction> actions =
                    fixture.finishAttempt(fixture.routeRequest("x"), 0, outcome, CacheStatus.UNKNOWN);
            assertEquals(1, actionsOfType(actions, FailRequest.class).size());
            assertEquals(1, actions.size());
        }
        RouterFixture fixture = new RouterFixture();
        fixture.idempotency = Idempotency.NON_IDEMPOTENT;
        fixture.start(RouterFixture.allEndpoints());
        singleAttempt(fixture.finishAttempt(
                fixture.routeRequest("x"), 0, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN));
    }

    @Test
    void idempotencyKeyIsRetriedOnlyInItsDeduplicationScopeAndWindow() {
        RouterFixture fixture = new RouterFixture();
        fixture.idempotency = Idempotency.IDEMPOTENCY_KEY;
        fixture.deduplicationScope = DeduplicationScope.CELL;
        fixture.start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("x");
        SendAttempt retry = singleAttempt(fixture.finishAttempt(attempt, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
        assertEquals(attempt.endpointId() % 2, retry.endpointId() % 2);
        fixture.now += 2500 * MILLIS;
        List<RouterAction> afterWindow = fixture.finishAttempt(retry, 1, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
        assertEquals(1, actionsOfType(afterWindow, FailRequest.class).size());
    }

    // Guards against a repeat that nothing drops: the class has keys, but this request came without one.
    @Test
    void keyedRequestWithoutAKeyIsFailedIfItMayHaveRunAndRetriedIfItDidNotConnect() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            RouterFixture fixture = keyedFixture();
            fixture.idempotencyKeys = id -> null;
            List<RouterAction> actions =
                    fixture.finishAttempt(fixture.routeRequest("x"), 0, outcome, CacheStatus.UNKNOWN);
            assertEquals(1, actionsOfType(actions, FailRequest.class).size());
            assertEquals(1, actions.size());
        }
        RouterFixture fixture = keyedFixture();
        fixture.idempotencyKeys = id -> null;
        singleAttempt(fixture.finishAttempt(
                fixture.routeRequest("x"), 0, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN));
    }

    private static RouterFixture keyedFixture() {
        RouterFixture fixture = new RouterFixture();
        fixture.idempotency = Idempotency.IDEMPOTENCY_KEY;
        return fixture.start(RouterFixture.allEndpoints());
    }

    @Test
    void overdueAttemptIsCancelledBeforeTheNextWithoutParallelAttempts() {
        RouterFixture fixture = new RouterFixture();
        fixture.parallelAttempts = false;
        fixture.start(RouterFixture.allEndpoints());
        fixture.answerOk(fixture.routeRequest("x"), CacheStatus.FILLED);
        SendAttempt attempt = fixture.routeRequest("x");
        List<RouterAction> actions = fixture.advanceAndSweep(455 * MILLIS);
        assertEquals(0, actionsOfType(actions, SendAttempt.class).size());
        assertEquals(1, actionsOfType(actions, CancelAttempt.class).size());
        SendAttempt retry =
                singleAttempt(fixture.finishAttempt(attempt, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN));
        assertNotEquals(attempt.endpointId(), retry.endpointId());
    }

    @Test
    void overdueAttemptIsKeptWithoutParallelAttemptsIfAnotherWouldBeLate() {
        RouterFixture fixture = new RouterFixture();
        fixture.parallelAttempts = false;
        fixture.start(RouterFixture.allEndpoints());
        fixture.answerOk(fixture.routeRequest("x"), CacheStatus.FILLED);
        fixture.routeRequest("x");
        assertEquals(
                0,
                actionsOfType(fixture.advanceAndSweep(900 * MILLIS), CancelAttempt.class)
                        .size());
    }

    @Test
    void drainingCacheGetsNoRequestsAndIsNoFillSource() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("hot");
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        Endpoint drainingCache = cache(firstAttempt.endpointId());
        fixture.handle(new EndpointsChanged(
                EndpointUpdateKind.DELTA, List.of(withLifecycle(drainingCache, EndpointLifecycle.DRAINING, 0))));
        for (int i = 0; i < 40; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            assertNotEquals(firstAttempt.endpointId(), attempt.endpointId());
            assertNotEquals(firstAttempt.endpointId(), attempt.fillSourceId());
            fixture.answerOk(attempt, CacheStatus.HIT);
        }
    }

    // Routes 400 requests of 100 ms of transfer time each and returns the seconds of work that went to the
    // endpoint, as the target of the attempt or as the source of its fill. The clock stands still.
    private static double routeRequestsAndSumWork(RouterFixture fixture, long endpointId, boolean asSource) {
        double workSeconds = 0;
        for (int i = 0; i < 400; i++) {
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("o" + i), SendAttempt.class)) {
                if ((asSource ? attempt.fillSourceId() : attempt.endpointId()) == endpointId) {
                    workSeconds += 0.1;
                }
                fixture.handle(new AttemptFinished(
                        attempt.requestId(),
                        0,
                        attempt.endpointId(),
                        AttemptOutcome.OK,
                        MILLIS,
                        true,
                        CacheStatus.FILLED));
            }
        }
        return workSeconds;
    }

    @Test
    void cacheInSlowStartGetsNoMoreThanItsBudget() {
        Endpoint[] endpoints = RouterFixture.allEndpoints();
        endpoints[0] = withLifecycle(endpoints[0], EndpointLifecycle.READY, START_TIME);
        double workSeconds = routeRequestsAndSumWork(new RouterFixture().start(endpoints), 1, false);
        assertTrue(workSeconds > 0 && workSeconds <= 3 * 0.2 * 8 * 1.5 / 2, "seconds of work sent: " + workSeconds);
        assertTrue(routeRequestsAndSumWork(new RouterFixture().start(RouterFixture.allEndpoints()), 1, false)
                > 3 * 0.2 * 8 * 1.5 / 2);
    }

    @Test
    void cacheInSlowStartWithUnknownCapacityGetsLittleWork() {
        RouterFixture fixture = new RouterFixture();
        fixture.weightsAreCapacities = false;
        Endpoint[] endpoints = RouterFixture.allEndpoints();
        endpoints[0] = withLifecycle(endpoints[0], EndpointLifecycle.READY, START_TIME);
        assertTrue(routeRequestsAndSumWork(fixture.start(endpoints), 1, false) < 10);
    }

    // In the 1.5 s since its start the capacity of the cache has grown from 0.2 to 0.267 of its weight 8, 0.233
    // on average. The budget of one of the two routers is half of the overcommit of 3 times that mean over the
    // window of 1.5 s.
    @Test
    void slowStartBudgetFollowsTheMeanCapacityInTheOverloadWindow() {
        Endpoint[] endpoints = RouterFixture.allEndpoints();
        endpoints[0] = withLifecycle(endpoints[0], EndpointLifecycle.READY, START_TIME);
        RouterFixture fixture = new RouterFixture().start(endpoints);
        fixture.now += 1500 * MILLIS;
        double workSeconds = routeRequestsAndSumWork(fixture, 1, false);
        double budgetSeconds = 3 * 0.233 * 8 * 1.5 / 2;
        assertTrue(
                workSeconds > 0.75 * budgetSeconds && workSeconds <= 0.85 * budgetSeconds,
                "seconds of work sent: " + workSeconds + ", budget " + budgetSeconds);
    }

    // A zone that is cut off must not hold requests that no cache works on. A request that reaches no cache is
    // rejected before half of its client's deadline of 3 s has passed.
    @Test
    void requestThatReachesNoCacheIsRejectedBeforeHalfOfItsTimeHasPassed() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        List<RouterAction> actions = fixture.submitRequest("x");
        int attempts = 0;
        while (!actionsOfType(actions, SendAttempt.class).isEmpty()) {
            fixture.now += 400 * MILLIS;
            actions = fixture.finishAttempt(
                    singleAttempt(actions), attempts++, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN);
        }
        assertEquals(3, attempts);
        assertEquals(1, actionsOfType(actions, RejectRequest.class).size());
        assertTrue(fixture.now - START_TIME <= 1500 * MILLIS);
    }

    // A router that starts together with its whole zone has not seen its caches serve anything yet. It estimates
    // their capacity from the bandwidth of the zone's fill link.
    @Test
    void newRouterDerivesCacheCapacityFromTheFillLinkWhenItsZoneRestarts() {
        RouterFixture fixture = new RouterFixture();
        fixture.weightsAreCapacities = false;
        fixture.fillLinkKbPerSecond = 60_000;
        Endpoint[] endpoints = RouterFixture.allEndpoints();
        for (int i = 0; i < 4; i++) {
            endpoints[i] = withLifecycle(endpoints[i], EndpointLifecycle.READY, START_TIME);
        }
        double workSeconds = routeRequestsAndSumWork(fixture.start(endpoints), 1, false);
        // Transfers at once of one cache for one router: the link carries 60,000 KB/s at 5,000 KB/s per
        // transfer, and the caches of a zone support 1.4 times that. The estimate is divided by sqrt(2), as
        // there are four caches and not eight, then by the four caches and the two routers. The cache is in slow
        // start and the window is 1.5 s long.
        double cacheCapacity = 60_000 / 5_000.0 * 1.4 / Math.sqrt(2) / 4 / 2;
        assertTrue(
                workSeconds > 0.25 * cacheCapacity && workSeconds <= 2 * 0.25 * cacheCapacity * 1.5,
                "seconds of work sent: " + workSeconds + ", capacity " + cacheCapacity);
    }

    @Test
    void parentInSlowStartGetsNoMoreFillsThanItsBudget() {
        Endpoint[] endpoints = RouterFixture.allEndpoints();
        endpoints[4] = withLifecycle(endpoints[4], EndpointLifecycle.READY, START_TIME);
        double workSeconds = routeRequestsAndSumWork(new RouterFixture().start(endpoints), 11, true);
        assertTrue(workSeconds > 0 && workSeconds <= 2 * 0.06 * 20 * 1.5 / 2, "seconds of work sent: " + workSeconds);
    }

    @Test
    void maxAgeExcludesCopiesOlderThanAPurgeUntilItHasPropagated() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("x");
        assertEquals(0, attempt.maxAge());
        fixture.answerOk(attempt, CacheStatus.FILLED);
        fixture.handle(new ContentPurged("x", 3, 100 * MILLIS));
        assertEquals(100 * MILLIS, fixture.routeRequest("x").maxAge());
        fixture.now += 400 * MILLIS;
        assertEquals(500 * MILLIS, fixture.routeRequest("x").maxAge());
        assertEquals(0, fixture.routeRequest("y").maxAge());
        fixture.handle(new ContentPurged(null, 3, 0));
        assertEquals(1, fixture.routeRequest("y").maxAge());
        fixture.advanceAndSweep(7000 * MILLIS);
        assertEquals(0, fixture.routeRequest("x").maxAge());
    }

    @Test
    void purgeInvalidatesContentHints() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt firstAttempt = fixture.routeRequest("hot");
        fixture.answerOk(firstAttempt, CacheStatus.FILLED);
        routeUntilAnotherCacheIsChosen(fixture, firstAttempt);
        fixture.handle(new ContentPurged("hot", 3, 0));
        for (int i = 0; i < 8; i++) {
            assertFalse(fixture.routeRequest("hot").onlyIfCached());
        }
    }

    @Test
    void maxAgeIsAtMostTheFreshnessLifetimeAfterAPurge() {
        RouterFixture fixture = new RouterFixture();
        fixture.freshnessLifetimeMicros = 200 * MILLIS;
        fixture.start(RouterFixture.allEndpoints());
        fixture.handle(new ContentPurged("x", 3, 0));
        fixture.now += 900 * MILLIS;
        SendAttempt attempt = fixture.routeRequest("x");
        assertEquals(200 * MILLIS, attempt.maxAge());
        assertTrue(attempt.refreshInBackground());
    }

    // ---- Failures, overload and retries ----
    @Test
    void attemptAtASilentCacheIsHedgedAndThatCacheThenAvoided() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt unanswered = fixture.routeRequest("x");
        long silentCache = unanswered.endpointId();
        SendAttempt hedge = singleAttempt(fixture.advanceAndSweep(1500 * MILLIS));
        assertNotEquals(silentCache, hedge.endpointId());
        List<RouterAction> afterAnswer = fixture.handle(new AttemptFinished(
                hedge.requestId(), 1, hedge.endpointId(), AttemptOutcome.OK, 9, true, CacheStatus.FILLED));
        assertEquals(1, actionsOfType(afterAnswer, CancelAttempt.class).size());
        for (int i = 0; i < 3; i++) {
            SendAttempt attempt = fixture.routeRequest("x");
            if (attempt.endpointId() == silentCache) {
                fixture.advanceAndSweep(1500 * MILLIS);
            }
        }
        assertNotEquals(silentCache, fixture.routeRequest("x").endpointId());
    }

    // Routes requests of which those at the failing cache end with the outcome, and all others and the retries
    // succeed. Returns how many first attempts went to the failing cache.
    private static int countAttemptsAtFailingCache(
            RouterFixture fixture, long failingCache, AttemptOutcome outcome, int requests) {
        int attemptsAtFailingCache = 0;
        for (int i = 0; i < requests; i++) {
            SendAttempt attempt = fixture.routeRequest("o" + i);
            boolean atFailingCache = attempt.endpointId() == failingCache;
            attemptsAtFailingCache += atFailingCache ? 1 : 0;
            fixture.now += 5 * MILLIS;
            List<RouterAction> actions = fixture.finishAttempt(
                    attempt,
                    0,
                    atFailingCache ? outcome : AttemptOutcome.OK,
                    atFailingCache ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
            for (SendAttempt retry : actionsOfType(actions, SendAttempt.class)) {
                fixture.finishAttempt(retry, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        return attemptsAtFailingCache;
    }

    @Test
    void cacheThatFailsFastIsEjectedAndReturnsAfterASuccessfulTrial() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        assertTrue(countAttemptsAtFailingCache(fixture, 2, AttemptOutcome.ERROR, 150) <= 6);
        fixture.now += 10_000 * MILLIS;
        assertTrue(
                countAttemptsAtFailingCache(fixture, 2, AttemptOutcome.OK, 150) > 15,
                "the cache returns after a successful trial");
    }

    @Test
    void cancelledTrialIsFollowedByAnotherTrial() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        countAttemptsAtFailingCache(fixture, 2, AttemptOutcome.ERROR, 150);
        fixture.now += 10_000 * MILLIS;
        assertEquals(1, countTrialsAtSecondCache(fixture, AttemptOutcome.CANCELLED));
        assertEquals(1, countTrialsAtSecondCache(fixture, AttemptOutcome.CANCELLED));
    }

    // Routes up to 60 requests until one goes to cache 2, and ends that one with the outcome. Returns 1, or 0 if
    // none did.
    private static int countTrialsAtSecondCache(RouterFixture fixture, AttemptOutcome outcome) {
        for (int i = 0; i < 60; i++) {
            SendAttempt attempt = fixture.routeRequest("t" + i);
            fixture.finishAttempt(
                    attempt, 0, attempt.endpointId() == 2 ? outcome : AttemptOutcome.OK, CacheStatus.FILLED);
            if (attempt.endpointId() == 2) {
                return 1;
            }
        }
        return 0;
    }

    @Test
    void errorsAttributedToTheFillSourceDoNotEjectTheCache() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 60; i++) {
            SendAttempt attempt = fixture.routeRequest("o" + i);
            AttemptOutcome outcome = attempt.endpointId() == 2 && i < 40 ? AttemptOutcome.ERROR : AttemptOutcome.OK;
            for (SendAttempt retry : actionsOfType(
                    fixture.finishAttempt(
                            attempt,
                            0,
                            outcome,
                            outcome == AttemptOutcome.OK ? CacheStatus.FILLED : CacheStatus.SOURCE_FAILED),
                    SendAttempt.class)) {
                fixture.finishAttempt(retry, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        assertEquals(1, countTrialsAtSecondCache(fixture, AttemptOutcome.OK));
    }

    @Test
    void attemptIsStillSentWhenAllCachesAreEjected() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 200; i++) {
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("o" + i), SendAttempt.class)) {
                fixture.finishAttempt(attempt, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            }
        }
        fixture.now += 200 * MILLIS;
        assertEquals(
                1, actionsOfType(fixture.submitRequest("z"), SendAttempt.class).size());
    }

    @Test
    void unreachableZoneGetsOneAttemptPerCacheUntilItAnswers() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        long cacheCount = List.of(RouterFixture.allEndpoints()).stream()
                .filter(endpoint -> endpoint.role() == EndpointRole.CACHE)
                .count();
        for (int i = 0; i < 200; i++) {
            int attemptNumber = 0;
            for (List<SendAttempt> attempts = actionsOfType(fixture.submitRequest("dead" + i), SendAttempt.class);
                    !attempts.isEmpty(); ) {
                attempts = actionsOfType(
                        fixture.finishAttempt(
                                attempts.get(0), attemptNumber++, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN),
                        SendAttempt.class);
            }
        }
        List<SendAttempt> heldAttempts = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            List<RouterAction> actions = fixture.submitRequest("waits" + i);
            heldAttempts.addAll(actionsOfType(actions, SendAttempt.class));
            assertEquals(
                    1,
                    actionsOfType(actions, SendAttempt.class).size()
                            + actionsOfType(actions, RejectRequest.class).size(),
                    "each request is sent or rejected at once");
        }
        assertEquals(
                cacheCount,
                heldAttempts.stream().map(SendAttempt::endpointId).distinct().count());
        assertEquals(
                cacheCount,
                heldAttempts.size(),
                "one attempt per cache, because a cache that returns gets those of all routers at once");
        // The caches answer again: the router admits more attempts step by step, before their ejection ends.
        for (SendAttempt attempt : heldAttempts) {
            fixture.finishAttempt(attempt, 0, AttemptOutcome.OK, CacheStatus.FILLED);
        }
        for (int i = 0; i < 12; i++) {
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("back" + i), SendAttempt.class)) {
                fixture.finishAttempt(attempt, 0, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        long admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += actionsOfType(fixture.submitRequest("more" + i), SendAttempt.class)
                    .size();
        }
        assertTrue(admitted > 2 * cacheCount, admitted + " attempts in flight");
    }

    @Test
    void requestThatACacheRejectedTwiceIsNotSentThereAgainWhenOtherCachesHaveNoBudget() {
        RouterFixture fixture = new RouterFixture();
        fixture.weightsAreCapacities = false;
        Endpoint[] endpoints = {
            cache(1),
            withLifecycle(cache(2), EndpointLifecycle.READY, START_TIME - 1000 * MILLIS),
            withLifecycle(cache(3), EndpointLifecycle.READY, START_TIME - 1000 * MILLIS),
            parent(11),
            parent(12),
            RouterFixture.ORIGIN
        };
        fixture.start(endpoints);
        for (int i = 0; i < 60; i++) {
            // Uses up the budgets of the caches in slow start.
            SendAttempt attempt = fixture.routeRequest("fills" + i);
            fixture.finishAttempt(attempt, 0, AttemptOutcome.OK, CacheStatus.FILLED);
        }
        List<Integer> attemptsAtWarmCache = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int attemptNumber = 0;
            attemptsAtWarmCache.add(0);
            for (List<SendAttempt> attempts = actionsOfType(fixture.submitRequest("full" + i), SendAttempt.class);
                    !attempts.isEmpty(); ) {
                boolean atWarmCache = attempts.get(0).endpointId() == 1;
                attemptsAtWarmCache.set(i, attemptsAtWarmCache.get(i) + (atWarmCache ? 1 : 0));
                attempts = actionsOfType(
                        fixture.finishAttempt(
                                attempts.get(0),
                                attemptNumber++,
                                atWarmCache ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK,
                                CacheStatus.UNKNOWN),
                        SendAttempt.class);
            }
            fixture.now += 5 * MILLIS;
        }
        assertTrue(
                attemptsAtWarmCache.stream().allMatch(count -> count <= 2),
                "attempts of each request at the warm cache: " + attemptsAtWarmCache);
        assertTrue(
                attemptsAtWarmCache.contains(2),
                "some request is sent to the warm cache twice: " + attemptsAtWarmCache);
    }

    @Test
    void requestsAboveTheConcurrencyLimitAreRejectedWithARetryDelay() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        RejectRequest rejection = null;
        for (int i = 0; i < 200 && rejection == null; i++) {
            List<RejectRequest> rejections = actionsOfType(fixture.submitRequest("o" + i), RejectRequest.class);
            rejection = rejections.isEmpty() ? null : rejections.get(0);
        }
        assertTrue(rejection != null && rejection.retryAfter() > 0 && rejection.retryAfter() <= 2000 * MILLIS);
    }

    // Writes are rare, and only the origin can serve them: they pass the limits that shed other requests.
    @Test
    void writeRequestIsSentAndFilledWhenTheConcurrencyLimitsAreExhausted() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 200; i++) {
            fixture.submitRequest("o" + i);
        }
        assertEquals(
                1,
                actionsOfType(fixture.submitRequest("y"), RejectRequest.class).size());
        SendAttempt write = singleAttempt(fixture.handle(
                new RequestArrived(999_999, 0, "x", 0, 3, 500, fixture.now + 3000 * MILLIS, false, null, true)));
        assertTrue(
                write.fillSourceId() == 11 || write.fillSourceId() == 12,
                "the write is filled from a parent: " + write);
    }

    @Test
    void attemptsAreSentWithoutFillWhileTheFillLimitIsExhausted() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt last = null;
        for (int i = 0; i < 30; i++) {
            last = fixture.routeRequest("o" + i);
        }
        assertEquals(last.endpointId(), last.fillSourceId());
        assertEquals(
                1,
                actionsOfType(
                                fixture.finishAttempt(last, 0, AttemptOutcome.MISS, CacheStatus.UNKNOWN),
                                RejectRequest.class)
                        .size());
    }

    @Test
    void fillLimitAtItsMinimumGrowsAgainOnceAnswersAreInTime() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 60; i++) {
            fixture.now += 200 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("late" + i);
            fixture.handle(new AttemptFinished(
                    attempt.requestId(),
                    0,
                    attempt.endpointId(),
                    AttemptOutcome.OK,
                    2500 * MILLIS,
                    true,
                    CacheStatus.FILLED));
        }
        for (int i = 0; i < 200; i++) {
            SendAttempt first = fixture.routeRequest("n" + i);
            SendAttempt second = fixture.routeRequest("m" + i);
            fixture.answerOk(first, CacheStatus.FILLED);
            fixture.answerOk(second, CacheStatus.FILLED);
        }
        int fills = 0;
        for (int i = 0; i < 10; i++) {
            SendAttempt attempt = fixture.routeRequest("z" + i);
            fills += attempt.fillSourceId() != attempt.endpointId() ? 1 : 0;
        }
        assertTrue(fills > 3, fills + " fills");
    }

    // Returns whether a request of three times the mean size may be filled while four tenths of the fill limit
    // are in use, after 60 answers with this latency.
    private static boolean mayFillLargeRequest(long latencyMillis) {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 60; i++) {
            fixture.now += 300 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("o" + i);
            fixture.handle(new AttemptFinished(
                    attempt.requestId(),
                    0,
                    attempt.endpointId(),
                    AttemptOutcome.OK,
                    latencyMillis * MILLIS,
                    true,
                    CacheStatus.FILLED));
        }
        for (int i = 0; i < 5; i++) {
            fixture.routeRequest("p" + i);
        }
        SendAttempt large = singleAttempt(fixture.handle(
                new RequestArrived(900, 0, "large", 0, 3, 1500, fixture.now + 3000 * MILLIS, false, null, false)));
        return large.endpointId() != large.fillSourceId();
    }

    @Test
    void fillsOfLargeRequestsAreShedFirstUnderLoad() {
        assertFalse(mayFillLargeRequest(300));
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 12; i++) {
            fixture.routeRequest("o" + i);
        }
        SendAttempt giant = singleAttempt(fixture.handle(
                new RequestArrived(900, 0, "giant", 0, 3, 50_000, fixture.now + 30_000 * MILLIS, false, null, false)));
        assertEquals(giant.endpointId(), giant.fillSourceId());
        SendAttempt meanSize = fixture.routeRequest("usual");
        assertNotEquals(meanSize.endpointId(), meanSize.fillSourceId());
    }

    @Test
    void largeRequestIsFilledWhileAnswersAreFast() {
        assertTrue(mayFillLargeRequest(110));
    }

    @Test
    void cacheWithDisproportionatelyManyAttemptsInFlightIsSkipped() {
        RouterFixture fixture = new RouterFixture();
        fixture.segmented = true;
        fixture.start(RouterFixture.allEndpoints());
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            cachesUsed.add(
                    singleAttempt(fixture.handle(fixture.newRequest("film", 0))).endpointId());
        }
        assertTrue(cachesUsed.size() > 1);
    }

    @Test
    void parentServesRequestsWithoutCachesWhereBypassIsAllowed() {
        RouterFixture fixture = new RouterFixture();
        fixture.cacheBypassAllowed = true;
        fixture.start(parent(11), parent(12), RouterFixture.ORIGIN);
        SendAttempt attempt = fixture.routeRequest("x");
        assertTrue(attempt.endpointId() == 11 || attempt.endpointId() == 12);
        assertEquals(21, attempt.fillSourceId());
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        int attempts = 0;
        for (int i = 0; i < 100; i++) {
            List<RouterAction> actions = fixture.submitRequest("o" + i);
            for (int attemptNumber = 0;
                    !actionsOfType(actions, SendAttempt.class).isEmpty();
                    attemptNumber++) {
                attempts++;
                actions = fixture.finishAttempt(
                        singleAttempt(actions), attemptNumber, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            }
        }
        assertTrue(attempts <= 100 + 20 + 100 * 0.2 + 1, attempts + " attempts");
    }

    @Test
    void repeatedOutcomesAndEventsOfUnknownRequestsAreIgnored() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        SendAttempt attempt = fixture.routeRequest("x");
        fixture.answerOk(attempt, CacheStatus.HIT);
        assertEquals(List.of(), fixture.answerOk(attempt, CacheStatus.HIT));
        assertEquals(
                List.of(),
                fixture.handle(
                        new AttemptFinished(99, 0, 1, AttemptOutcome.OK, 1, true, CacheStatus.HIT),
                        new ClientDisconnected(99),
                        new StreamStarted(99, 0)));
        assertEquals(List.of(), fixture.handle());
    }

    @Test
    void endpointListIsRequestedAgainAfterAFailureWithoutPushedUpdates() {
        RouterFixture fixture = new RouterFixture();
        fixture.pushedEndpointUpdates = false;
        fixture.start(RouterFixture.allEndpoints());
        StartTimer retryTimer = actionsOfType(
                        fixture.handle(new EndpointsChanged(EndpointUpdateKind.FAILED, List.of())), StartTimer.class)
                .get(0);
        assertEquals(
                1,
                actionsOfType(fixture.handle(new TimerFired(retryTimer.name())), WatchEndpoints.class)
                        .size());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<RouterAction>> actionsByRun = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
            List<RouterAction> runActions = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                fixture.now += 3 * MILLIS;
                List<RouterAction> actions = fixture.submitRequest("o" + i % 50);
                runActions.addAll(actions);
                for (SendAttempt attempt : actionsOfType(actions, SendAttempt.class)) {
                    AttemptOutcome outcome =
                            i % 7 == 0 ? AttemptOutcome.ERROR : i % 5 == 0 ? AttemptOutcome.MISS : AttemptOutcome.OK;
                    runActions.addAll(fixture.finishAttempt(attempt, 0, outcome, CacheStatus.FILLED));
                }
            }
            actionsByRun.add(runActions);
        }
        assertEquals(actionsByRun.get(0), actionsByRun.get(1));
    }

    // ---- Large fleets, restarts of whole zones and lost answers ----
    // Returns over how many caches the requests for one object are spread.
    private static int countCachesUsed(int routerCount, int[] routersPerZone, int accesses) {
        RouterFixture fixture = new RouterFixture();
        fixture.routerCount = routerCount;
        fixture.routersPerZone = routersPerZone;
        fixture.start(RouterFixture.allEndpoints());
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < accesses; i++) {
            SendAttempt attempt = fixture.routeRequest("hot");
            cachesUsed.add(attempt.endpointId());
            fixture.answerOk(attempt, i == 0 ? CacheStatus.FILLED : CacheStatus.HIT);
        }
        return cachesUsed.size();
    }

    @Test
    void replicasFollowTheAccessesExtrapolatedToTheRoutersOfTheZone() {
        assertEquals(1, countCachesUsed(1, new int[] {1}, 3));
        assertEquals(1, countCachesUsed(200, new int[] {1}, 3));
        assertEquals(3, countCachesUsed(200, new int[] {8}, 3));
    }

    private static int countAdmittedFills(int routersInZone) {
        RouterFixture fixture = new RouterFixture();
        fixture.routerCount = 200;
        fixture.routersPerZone = new int[] {routersInZone};
        fixture.start(RouterFixture.allEndpoints());
        int fills = 0;
        for (int i = 0; i < 100; i++) {
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("o" + i), SendAttempt.class)) {
                fills += attempt.fillSourceId() != attempt.endpointId() ? 1 : 0;
            }
        }
        return fills;
    }

    @Test
    void routersOfAZoneShareTheFillLimit() {
        int onlyRouter = countAdmittedFills(1);
        int oneOfNineRouters = countAdmittedFills(9);
        assertTrue(
                oneOfNineRouters >= 1 && oneOfNineRouters <= onlyRouter / 2,
                "fills admitted by the only router: " + onlyRouter + ", by one of nine: " + oneOfNineRouters);
    }

    @Test
    void lostAnswerIsHedgedAndACacheThatAnswersOthersKeepsItsRequests() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        for (int i = 0; i < 8; i++) {
            fixture.answerOk(fixture.routeRequest("x"), i == 0 ? CacheStatus.FILLED : CacheStatus.HIT);
        }
        fixture.now += 60_000 * MILLIS;
        fixture.answerOk(fixture.routeRequest("x"), CacheStatus.FILLED);
        for (int i = 0; i < 12; i++) {
            SendAttempt lost = fixture.routeRequest("x");
            fixture.now += 400 * MILLIS;
            SendAttempt answered = fixture.routeRequest("x");
            fixture.finishAttempt(answered, 0, AttemptOutcome.OK, CacheStatus.HIT);
            SendAttempt hedge = singleAttempt(fixture.advanceAndSweep(100 * MILLIS));
            assertEquals(lost.requestId(), hedge.requestId());
            assertNotEquals(lost.endpointId(), hedge.endpointId());
            fixture.handle(new AttemptFinished(
                    hedge.requestId(), 1, hedge.endpointId(), AttemptOutcome.OK, 20 * MILLIS, true, CacheStatus.HIT));
            fixture.now += 10_000 * MILLIS;
            SendAttempt nextAttempt = fixture.routeRequest("x");
            assertEquals(lost.endpointId(), nextAttempt.endpointId());
            fixture.answerOk(nextAttempt, CacheStatus.HIT);
        }
    }

    @Test
    void laggingParentLosesItsFillsWithoutCausingRejections() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        int fillsFromLaggingParent = 0;
        int rejections = 0;
        for (int i = 0; i < 400; i++) {
            fixture.now += 50 * MILLIS;
            List<RouterAction> actions = fixture.submitRequest("o" + i);
            rejections += actionsOfType(actions, RejectRequest.class).size();
            for (SendAttempt attempt : actionsOfType(actions, SendAttempt.class)) {
                boolean fromLaggingParent = attempt.fillSourceId() == 11;
                fillsFromLaggingParent += fromLaggingParent && i >= 200 ? 1 : 0;
                fixture.handle(new AttemptFinished(
                        attempt.requestId(),
                        0,
                        attempt.endpointId(),
                        AttemptOutcome.OK,
                        fromLaggingParent ? 2000 * MILLIS : 120 * MILLIS,
                        true,
                        CacheStatus.FILLED));
            }
        }
        assertTrue(fillsFromLaggingParent < 20, fillsFromLaggingParent + " of 200 fills came from the lagging parent");
        assertEquals(0, rejections);
        fillsFromLaggingParent = 0;
        for (int i = 0; i < 400; i++) {
            fixture.now += 50 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("p" + i);
            fillsFromLaggingParent += attempt.fillSourceId() == 11 && i >= 300 ? 1 : 0;
            fixture.handle(new AttemptFinished(
                    attempt.requestId(),
                    0,
                    attempt.endpointId(),
                    AttemptOutcome.OK,
                    120 * MILLIS,
                    true,
                    CacheStatus.FILLED));
        }
        assertTrue(
                fillsFromLaggingParent > 20,
                fillsFromLaggingParent + " of 100 fills came from the parent once it was fast again");
    }

    // Counts attempts while parent 11 has lost its connection to the origin: three of five attempts that fill
    // from it end with an error, and all others succeed. Index 1 counts those that fill from parent 11, from the
    // 101st request on, and index 0 counts the others.
    private static int[] countAttemptsWhileOneParentFails(Idempotency idempotency) {
        RouterFixture fixture = new RouterFixture();
        fixture.cacheStatusDetail = CacheStatusDetail.HITS;
        fixture.idempotency = idempotency;
        fixture.parallelAttempts = false;
        fixture.start(RouterFixture.allEndpoints());
        int[] attemptsBySource = new int[2];
        for (int i = 0; i < 600; i++) {
            fixture.now += 50 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("e" + i);
            for (int attemptNumber = 0; attempt != null; attemptNumber++) {
                attemptsBySource[i >= 100 && attempt.fillSourceId() == 11 ? 1 : 0]++;
                boolean isFailing = attempt.fillSourceId() == 11 && i % 5 < 3;
                List<RouterAction> actions = fixture.finishAttempt(
                        attempt,
                        attemptNumber,
                        isFailing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                        isFailing ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
                attempt = actions.isEmpty() || !(actions.get(0) instanceof SendAttempt)
                        ? null
                        : (SendAttempt) actions.get(0);
            }
        }
        return attemptsBySource;
    }

    @Test
    void parentThatFailsWhileAnotherServesLosesItsFills() {
        int[] reads = countAttemptsWhileOneParentFails(Idempotency.SAFE);
        assertTrue(reads[1] < 100, reads[1] + " reads filled from the failing parent, " + reads[0] + " others");
        int[] writes = countAttemptsWhileOneParentFails(Idempotency.NON_IDEMPOTENT);
        assertTrue(writes[1] < 10, writes[1] + " writes sent through the failing parent, " + writes[0] + " others");
    }

    @Test
    void errorsThroughAllParentsEjectNone() {
        RouterFixture fixture = new RouterFixture();
        fixture.cacheStatusDetail = CacheStatusDetail.HITS;
        fixture.idempotency = Idempotency.NON_IDEMPOTENT;
        fixture.start(RouterFixture.allEndpoints());
        Set<Long> sourcesUsed = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            fixture.now += 50 * MILLIS;
            SendAttempt attempt = fixture.routeRequest("f" + i);
            sourcesUsed.add(attempt.fillSourceId());
            fixture.finishAttempt(
                    attempt,
                    0,
                    i % 5 < 3 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    i % 5 < 3 ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
        }
        assertEquals(Set.of(11L, 12L), sourcesUsed);
    }

    @Test
    void cachesThatAreAllSlowAreNotEjected() {
        RouterFixture fixture = new RouterFixture().start(RouterFixture.allEndpoints());
        Set<Long> cachesUsed = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            fixture.now += 300 * MILLIS;
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("o" + i), SendAttempt.class)) {
                cachesUsed.add(attempt.endpointId());
                fixture.handle(new AttemptFinished(
                        attempt.requestId(),
                        0,
                        attempt.endpointId(),
                        AttemptOutcome.OK,
                        2000 * MILLIS,
                        true,
                        CacheStatus.HIT));
            }
            if (i == 150) {
                cachesUsed.clear();
            }
        }
        assertEquals(4, cachesUsed.size());
    }

    // Returns how many attempts are sent in the third second after all caches have restarted. Before that, the
    // caches either serve requests for 4 s or answer them with misses, and no requests arrive during the outage.
    private static int countAttemptsAfterAllCachesRestart(boolean servedBefore, int outageMillis) {
        RouterFixture fixture = new RouterFixture();
        fixture.weightsAreCapacities = false;
        fixture.start(RouterFixture.allEndpoints());
        for (int i = 0; i < 400; i++) {
            fixture.advanceAndSweep(10 * MILLIS);
            for (SendAttempt attempt : actionsOfType(fixture.submitRequest("x" + i % 20), SendAttempt.class)) {
                fixture.finishAttempt(
                        attempt,
                        0,
                        servedBefore ? AttemptOutcome.OK : AttemptOutcome.MISS,
                        servedBefore ? CacheStatus.HIT : CacheStatus.UNKNOWN);
            }
        }
        for (int i = 0; i < outageMillis / 20; i++) {
            fixture.advanceAndSweep(20 * MILLIS);
        }
        List<Endpoint> restartedCaches = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            restartedCaches.add(withLifecycle(cache(id), EndpointLifecycle.READY, fixture.now));
        }
        fixture.handle(new EndpointsChanged(EndpointUpdateKind.DELTA, restartedCaches));
        fixture.now += 2000 * MILLIS;
        int attempts = 0;
        for (int i = 0; i < 100; i++) {
            attempts += actionsOfType(fixture.advanceAndSweep(10 * MILLIS), SendAttempt.class)
                            .size()
                    + actionsOfType(fixture.submitRequest("y" + i), SendAttempt.class)
                            .size();
        }
        return attempts;
    }

    @Test
    void zoneThatRestartsGetsTheWorkThatItsCachesServedBefore() {
        int withLearnedCapacity = countAttemptsAfterAllCachesRestart(true, 0);
        int withoutLearnedCapacity = countAttemptsAfterAllCachesRestart(false, 0);
        assertTrue(
                withLearnedCapacity > withoutLearnedCapacity,
                "attempts with learned capacity: " + withLearnedCapacity + ", without: " + withoutLearnedCapacity);
    }

    // A zone can fail seconds before the endpoint list reports it. The router must not forget in the meantime
    // how much work the caches served before.
    @Test
    void outageBeforeARestartDoesNotLowerTheLearnedCapacity() {
        int afterOutage = countAttemptsAfterAllCachesRestart(true, 10_000);
        assertTrue(
                afterOutage > 0.7 * countAttemptsAfterAllCachesRestart(true, 0),
                "attempts after the outage: " + afterOutage);
    }

    @Test
    void invalidRouterCountsAndRepeatedEndpointUpdatesAreTolerated() {
        for (int[] routersPerZone : new int[][] {{}, {0}, {-3}, {1}}) {
            for (int routerCount : new int[] {0, 1, 260}) {
                RouterFixture fixture = new RouterFixture();
                fixture.routerCount = routerCount;
                fixture.routersPerZone = routersPerZone;
                fixture.gossipEnabled = true;
                fixture.weightsAreCapacities = false;
                fixture.start(RouterFixture.allEndpoints());
                Endpoint restartedParent = withLifecycle(parent(11), EndpointLifecycle.READY, START_TIME);
                Endpoint unknownCache = withLifecycle(cache(77), EndpointLifecycle.GONE, 0);
                fixture.handle(
                        new EndpointsChanged(
                                EndpointUpdateKind.DELTA,
                                List.of(restartedParent, restartedParent, unknownCache, unknownCache)),
                        new GossipReceived(routerCount, new byte[11]));
                for (int i = 0; i < 20; i++) {
                    fixture.answerOk(fixture.routeRequest("x" + i), CacheStatus.FILLED);
                }
                fixture.advanceAndSweep(5000 * MILLIS);
            }
        }
    }

    @Test
    void overdueAttemptIsReplacedSoonerWhileAnswersAreLost() {
        RouterFixture fixture = new RouterFixture();
        fixture.parallelAttempts = false;
        fixture.start(RouterFixture.allEndpoints());
        assertTrue(cancellationsOfSlowAnswer(fixture, "fresh").isEmpty(), "the router waits for a slow answer");
        for (int i = 0; i < 6; i++) {
            SendAttempt attempt = fixture.routeRequest("lost" + i);
            for (int j = 0; j < 12; j++) {
                // The caches answer other requests.
                fixture.answerOk(fixture.routeRequest("well" + i + "-" + j), CacheStatus.HIT);
            }
            // The attempt is overdue, and a new one would miss the latency objective.
            fixture.advanceAndSweep(600 * RouterFixture.MILLIS);
            fixture.now += 2_400 * RouterFixture.MILLIS;
            fixture.finishAttempt(attempt, 0, AttemptOutcome.TIMEOUT, CacheStatus.UNKNOWN);
        }
        SendAttempt attempt = fixture.routeRequest("again");
        for (int j = 0; j < 12; j++) {
            fixture.answerOk(fixture.routeRequest("well-" + j), CacheStatus.HIT);
        }
        assertEquals(
                1,
                RouterFixture.actionsOfType(fixture.advanceAndSweep(60 * RouterFixture.MILLIS), CancelAttempt.class)
                        .size(),
                "the missing answer counts as lost and not as slow");
        SendAttempt retry = RouterFixture.singleAttempt(
                fixture.finishAttempt(attempt, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN));
        assertTrue(retry.endpointId() != attempt.endpointId());
        for (int i = 0; i < 6 * 60 * 50; i++) {
            // In six minutes the rate of lost answers decays.
            fixture.advanceAndSweep(20 * RouterFixture.MILLIS);
        }
        assertTrue(cancellationsOfSlowAnswer(fixture, "later").isEmpty());
    }

    @Test
    void answersMissingInAnOutageAreNotCountedAsLost() {
        RouterFixture fixture = new RouterFixture();
        fixture.parallelAttempts = false;
        fixture.start(RouterFixture.allEndpoints());
        for (int i = 0; i < 12; i++) {
            SendAttempt attempt = fixture.routeRequest("silent" + i);
            fixture.advanceAndSweep(600 * RouterFixture.MILLIS);
            fixture.now += 2_400 * RouterFixture.MILLIS;
            // No cache has answered any request in the meantime.
            fixture.finishAttempt(attempt, 0, AttemptOutcome.TIMEOUT, CacheStatus.UNKNOWN);
        }
        fixture.now += 10_000 * RouterFixture.MILLIS;
        for (int i = 0; i < 40; i++) {
            fixture.answerOk(fixture.routeRequest("back" + i), CacheStatus.HIT);
        }
        assertTrue(
                cancellationsOfSlowAnswer(fixture, "slow").isEmpty(),
                "the router waits for a slow answer, as before the outage");
    }

    // Returns the cancellations of an attempt without an answer for 300 ms while the caches answer other requests.
    private static List<CancelAttempt> cancellationsOfSlowAnswer(RouterFixture fixture, String object) {
        SendAttempt attempt = fixture.routeRequest(object);
        for (int i = 0; i < 12; i++) {
            fixture.answerOk(fixture.routeRequest(object + i), CacheStatus.HIT);
        }
        List<CancelAttempt> cancellations =
                RouterFixture.actionsOfType(fixture.advanceAndSweep(60 * RouterFixture.MILLIS), CancelAttempt.class);
        fixture.finishAttempt(attempt, 0, AttemptOutcome.OK, CacheStatus.HIT);
        return cancellations;
    }
}
