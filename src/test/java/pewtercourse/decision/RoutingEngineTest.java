package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.decision.Bench.MS;
import static pewtercourse.decision.Bench.START;
import static pewtercourse.decision.Bench.all;
import static pewtercourse.decision.Bench.as;
import static pewtercourse.decision.Bench.cache;
import static pewtercourse.decision.Bench.parent;
import static pewtercourse.decision.Bench.send;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingEngineTest {
    // ---- The mechanism ----
    @Test
    void homeIsTheSameAtEveryRouterWhateverTheListsOrder() {
        Bench a = new Bench().start(Bench.all());
        Bench b = new Bench();
        b.me = 1;
        b.start(Bench.ORIGIN, parent(12), parent(11), cache(4), cache(3), cache(2), cache(1));
        Set<Long> homes = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            SendAttempt x = a.sent("o" + i);
            SendAttempt y = b.sent("o" + i);
            assertEquals(x.endpointId(), y.endpointId());
            assertEquals(x.fillSourceId(), y.fillSourceId());
            homes.add(x.endpointId());
            a.ok(x, CacheStatus.FILLED);
            b.ok(y, CacheStatus.FILLED);
        }
        assertEquals(4, homes.size());
    }

    @Test
    void aLeavingCacheMovesOnlyItsOwnObjects() {
        Bench a = new Bench().start(Bench.all());
        Bench b = new Bench().start(cache(1), cache(2), cache(3), parent(11), parent(12), Bench.ORIGIN);
        for (int i = 0; i < 40; i++) {
            SendAttempt x = a.sent("o" + i);
            SendAttempt y = b.sent("o" + i);
            if (x.endpointId() != 4) {
                assertEquals(x.endpointId(), y.endpointId());
            }
            a.ok(x, CacheStatus.FILLED);
            b.ok(y, CacheStatus.FILLED);
        }
    }

    @Test
    void aQuietObjectStaysAtItsHomeAndAHotOneGrowsButNeverToAll() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt first = b.sent("hot");
        b.ok(first, CacheStatus.FILLED);
        SendAttempt second = b.sent("hot");
        b.ok(second, CacheStatus.HIT);
        assertEquals(first.endpointId(), second.endpointId());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("hot");
            used.add(s.endpointId());
            b.ok(s, CacheStatus.HIT);
        }
        assertEquals(3, used.size());
    }

    @Test
    void growthEndsOnceCountsHaveHalved() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        SendAttempt home = b.sent("hot");
        b.ok(home, CacheStatus.FILLED);
        for (int i = 0; i < 60; i++) {
            b.ok(b.sent("hot"), CacheStatus.HIT);
        }
        b.now += 60_000 * MS;
        for (int i = 0; i < 3; i++) {
            SendAttempt s = b.sent("hot");
            assertEquals(home.endpointId(), s.endpointId());
            b.ok(s, CacheStatus.FILLED);
        }
    }

    @Test
    void aPileOfRequestsInOneBatchCountsOnce() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        SendAttempt home = b.sent("quiet");
        b.ok(home, CacheStatus.FILLED);
        List<RouterEvent> pile = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            pile.add(b.request("quiet", 0));
        }
        for (SendAttempt s : all(b.logic.handle(b.now, pile), SendAttempt.class)) {
            b.feed(new AttemptFinished(
                    s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, 10 * MS, true, CacheStatus.HIT));
        }
        assertEquals(home.endpointId(), b.sent("quiet").endpointId());
    }

    @Test
    void rankFollowsTheCountAndTheSize() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        SendAttempt s = b.sent("a");
        assertEquals(1, s.retentionRank());
        b.ok(s, CacheStatus.FILLED);
        for (int i = 0; i < 30; i++) {
            s = b.sent("a");
            b.ok(s, CacheStatus.HIT);
        }
        assertEquals(3, s.retentionRank());
        for (int i = 0; i < 6; i++) {
            s = b.sent("big");
            b.ok(s, CacheStatus.HIT);
        }
        assertEquals(2, s.retentionRank());
    }

    /** Makes an object hot enough that a cache that lacks it is asked. */
    private static SendAttempt firstAtAnother(Bench b, SendAttempt home) {
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("hot");
            if (s.endpointId() != home.endpointId()) {
                return s;
            }
            b.ok(s, CacheStatus.HIT);
        }
        throw new AssertionError("never grew");
    }

    @Test
    void aCacheThatLacksItFillsFromTheHomeThenFromTheParent() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt home = b.sent("hot");
        assertTrue(home.fillSourceId() >= 11 && !home.onlyIfCached());
        b.ok(home, CacheStatus.FILLED);
        SendAttempt copy = firstAtAnother(b, home);
        assertEquals(home.endpointId(), copy.fillSourceId());
        assertTrue(copy.onlyIfCached());
        SendAttempt next = send(b.end(copy, 0, AttemptOutcome.MISS, CacheStatus.SOURCE_MISS));
        assertEquals(copy.endpointId(), next.endpointId());
        assertEquals(home.fillSourceId(), next.fillSourceId());
        assertFalse(next.onlyIfCached());
    }

    @Test
    void aBeliefAgesOut() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt home = b.sent("hot");
        b.ok(home, CacheStatus.FILLED);
        firstAtAnother(b, home);
        b.now += 13_000 * MS;
        for (int i = 0; i < 20; i++) {
            SendAttempt s = b.sent("hot");
            assertFalse(s.onlyIfCached());
            b.end(s, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN);
        }
    }

    @Test
    void parentsFollowInHashOrderAndTheOriginOnlyIfNoneIsUp() {
        Bench b = new Bench().start(Bench.all());
        Bench onlyOne = new Bench().start(cache(1), cache(2), parent(12), Bench.ORIGIN);
        Bench none = new Bench().start(cache(1), cache(2), Bench.ORIGIN);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            SendAttempt s = b.sent("o" + i);
            used.add(s.fillSourceId());
            b.ok(s, CacheStatus.FILLED);
            SendAttempt t = onlyOne.sent("o" + i);
            assertEquals(12, t.fillSourceId());
            onlyOne.ok(t, CacheStatus.FILLED);
            SendAttempt u = none.sent("o" + i);
            assertEquals(21, u.fillSourceId());
            none.ok(u, CacheStatus.FILLED);
        }
        assertEquals(Set.of(11L, 12L), used);
    }

    @Test
    void aFailedSourceIsBlamedNotTheCache() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt s = b.sent("x");
        SendAttempt next = send(b.end(s, 0, AttemptOutcome.OVERLOADED, CacheStatus.SOURCE_FAILED));
        assertEquals(s.endpointId(), next.endpointId());
        assertNotEquals(s.fillSourceId(), next.fillSourceId());
        assertTrue(next.fillSourceId() == 11 || next.fillSourceId() == 12);
    }

    @Test
    void aParentWhoseFillsAreAllRefusedIsLeftBeforeTheListTellsOfIt() {
        Bench b = new Bench();
        b.notes = CacheStatusDetail.HITS;
        b.start(Bench.all());
        int toIll = 0;
        for (int i = 0; i < 60; i++) {
            b.now += 5 * MS;
            SendAttempt s = b.sent("o" + i);
            if (s.fillSourceId() == 11) {
                toIll++;
                SendAttempt next = send(b.end(s, 0, AttemptOutcome.OVERLOADED, CacheStatus.UNKNOWN));
                assertNotEquals(11, next.fillSourceId(), "the same parent again");
                b.end(next, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            } else {
                b.ok(s, CacheStatus.FILLED);
            }
        }
        assertTrue(toIll <= 6, "asked " + toIll + " times");
    }

    @Test
    void aRequestThatTwoCachesAnswerWithAnErrorIsGivenBackAndEjectsNone() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 40; i++) {
            SendAttempt s = b.sent("bad" + i);
            SendAttempt next = send(b.end(s, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
            assertEquals(
                    1,
                    all(b.end(next, 1, AttemptOutcome.ERROR, CacheStatus.UNKNOWN), RejectRequest.class)
                            .size());
            b.ok(b.sent("good" + i), CacheStatus.FILLED);
            b.ok(b.sent("fine" + i), CacheStatus.FILLED);
            b.ok(b.sent("well" + i), CacheStatus.FILLED);
        }
        java.util.Set<Long> used = new java.util.HashSet<>();
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("o" + i);
            used.add(s.endpointId());
            b.ok(s, CacheStatus.FILLED);
        }
        assertEquals(java.util.Set.of(1L, 2L, 3L, 4L), used);
    }

    @Test
    void partsOfAGrownObjectAreDealtOverItsCaches() {
        Bench b = new Bench();
        b.inParts = true;
        b.start(Bench.all());
        for (int i = 0; i < 40; i++) {
            b.ok(send(b.feed(b.request("film", i % 10))), CacheStatus.FILLED);
        }
        SendAttempt x = send(b.feed(b.request("film", 3)));
        b.ok(x, CacheStatus.HIT);
        SendAttempt y = send(b.feed(b.request("film", 3)));
        assertEquals(x.endpointId(), y.endpointId());
        b.ok(y, CacheStatus.HIT);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            SendAttempt s = send(b.feed(b.request("film", i)));
            used.add(s.endpointId());
            b.ok(s, CacheStatus.HIT);
        }
        assertEquals(3, used.size());
    }

    @Test
    void countsGoToTheOwnerAndTheSumComesBack() {
        Bench[] b = {new Bench(), new Bench()};
        for (int i = 0; i < 2; i++) {
            b[i].mayTell = true;
            b[i].me = i;
            b[i].start(Bench.all());
        }
        int told = 0;
        int sums = 0;
        for (int o = 0; o < 6; o++) {
            for (int i = 0; i < 6; i++) {
                b[0].ok(b[0].sent("o" + o), CacheStatus.HIT);
            }
        }
        b[1].now = b[0].now;
        for (SendGossip t : all(b[0].sweep(5000 * MS), SendGossip.class)) {
            assertEquals(1, t.router());
            assertTrue(t.payload().length <= 256);
            told++;
            for (SendGossip back : all(b[1].feed(new GossipReceived(0, t.payload())), SendGossip.class)) {
                assertEquals(0, back.router());
                b[0].feed(new GossipReceived(1, back.payload()));
                sums++;
            }
        }
        assertTrue(told > 0);
        assertEquals(told, sums);
    }

    @Test
    void garbageFromAnotherRouterIsIgnored() {
        Bench b = new Bench();
        b.mayTell = true;
        b.start(Bench.all());
        byte[][] bad = {{}, {1}, new byte[10], new byte[12], new byte[300], {1, 2, 3}, new byte[251]};
        for (byte[] m : bad) {
            assertEquals(List.of(), b.feed(new GossipReceived(1, m)));
        }
        byte[] report = new byte[11];
        report[0] = 1;
        assertEquals(List.of(), b.feed(new GossipReceived(9, report)));
        assertEquals(1, b.feed(new GossipReceived(1, report)).size());
    }

    // ---- The rules ----
    @Test
    void everyRequestGetsOneFinalAnswer() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt s = b.sent("x");
        List<RouterAction> out = new ArrayList<>();
        int tries = 0;
        while (tries < 20) {
            List<RouterAction> a = b.end(s, tries++, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            out.addAll(a);
            if (all(a, SendAttempt.class).isEmpty()) {
                break;
            }
            s = send(a);
        }
        assertEquals(1, all(out, RejectRequest.class).size());
        assertTrue(tries <= 8);
        assertEquals(List.of(), b.end(s, tries, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
    }

    @Test
    void anEmptyListMeansARefusalAtOnce() {
        Bench b = new Bench().start();
        assertEquals(1, all(b.ask("x"), RejectRequest.class).size());
    }

    @Test
    void noAttemptStartsThatCannotEndInTime() {
        Bench b = new Bench().start(Bench.all());
        List<RouterAction> a = b.feed(new RequestArrived(5, 0, "x", 0, 1, 50_000, b.now + 3000 * MS, false, false));
        assertEquals(1, all(a, RejectRequest.class).size());
    }

    @Test
    void aSideEffectThatMayHaveRunIsNeverRepeatedNorRefused() {
        for (AttemptOutcome e : List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            Bench b = new Bench();
            b.effect = Idempotency.NON_IDEMPOTENT;
            b.start(Bench.all());
            List<RouterAction> a = b.end(b.sent("x"), 0, e, CacheStatus.UNKNOWN);
            assertEquals(1, all(a, FailRequest.class).size());
            assertEquals(1, a.size());
        }
        Bench b = new Bench();
        b.effect = Idempotency.NON_IDEMPOTENT;
        b.start(Bench.all());
        send(b.end(b.sent("x"), 0, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN));
    }

    @Test
    void aTokenIsRepeatedOnlyInItsGroupAndItsTime() {
        Bench b = new Bench();
        b.effect = Idempotency.IDEMPOTENCY_KEY;
        b.group = DeduplicationScope.CELL;
        b.start(Bench.all());
        SendAttempt s = b.sent("x");
        SendAttempt next = send(b.end(s, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN));
        assertEquals(s.endpointId() % 2, next.endpointId() % 2);
        b.now += 2500 * MS;
        List<RouterAction> late = b.end(next, 1, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
        assertEquals(1, all(late, FailRequest.class).size());
    }

    @Test
    void withoutParallelTriesTheFirstIsCalledOffBeforeTheSecond() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        b.ok(b.sent("x"), CacheStatus.FILLED);
        SendAttempt s = b.sent("x");
        List<RouterAction> a = b.sweep(455 * MS);
        assertEquals(0, all(a, SendAttempt.class).size());
        assertEquals(1, all(a, CancelAttempt.class).size());
        SendAttempt next = send(b.end(s, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN));
        assertNotEquals(s.endpointId(), next.endpointId());
    }

    @Test
    void anAttemptWhoseSuccessorWouldBeLateIsWaitedForWhereTwoMayNotRun() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        b.ok(b.sent("x"), CacheStatus.FILLED);
        b.sent("x");
        assertEquals(0, all(b.sweep(900 * MS), CancelAttempt.class).size());
    }

    @Test
    void aDrainingCacheGetsNothingAndIsNoSource() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt home = b.sent("hot");
        b.ok(home, CacheStatus.FILLED);
        Endpoint leaving = cache(home.endpointId());
        b.feed(new EndpointsChanged(EndpointUpdateKind.DELTA, List.of(as(leaving, EndpointLifecycle.DRAINING, 0))));
        for (int i = 0; i < 40; i++) {
            SendAttempt s = b.sent("hot");
            assertNotEquals(home.endpointId(), s.endpointId());
            assertNotEquals(home.endpointId(), s.fillSourceId());
            b.ok(s, CacheStatus.HIT);
        }
    }

    private static double workSent(Bench b, long id, boolean asSource) {
        double work = 0;
        for (int i = 0; i < 400; i++) {
            for (SendAttempt s : all(b.ask("o" + i), SendAttempt.class)) {
                if ((asSource ? s.fillSourceId() : s.endpointId()) == id) {
                    work += 0.1;
                }
                b.feed(new AttemptFinished(
                        s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, MS, true, CacheStatus.FILLED));
            }
        }
        return work;
    }

    @Test
    void aColdCacheStaysInsideItsBudget() {
        Endpoint[] m = Bench.all();
        m[0] = as(m[0], EndpointLifecycle.READY, START);
        double work = workSent(new Bench().start(m), 1, false);
        assertTrue(work > 0 && work <= 3 * 0.2 * 8 * 1.5 / 2, "sent " + work);
        assertTrue(workSent(new Bench().start(Bench.all()), 1, false) > 3 * 0.2 * 8 * 1.5 / 2);
    }

    @Test
    void aColdCacheOfUnknownSizeGetsLittle() {
        Bench b = new Bench();
        b.weightsTold = false;
        Endpoint[] m = Bench.all();
        m[0] = as(m[0], EndpointLifecycle.READY, START);
        assertTrue(workSent(b.start(m), 1, false) < 10);
    }

    // 1.5 s after its start a cache could do 0.2 of its 8 at first and 0.267 now: in all 0.233 x 1.5 s.
    @Test
    void aWarmingCacheGetsByTheMeanOfTheWindow() {
        Endpoint[] m = Bench.all();
        m[0] = as(m[0], EndpointLifecycle.READY, START);
        Bench b = new Bench().start(m);
        b.now += 1500 * MS;
        double work = workSent(b, 1, false);
        double bears = 3 * 0.233 * 8 * 1.5 / 2;
        assertTrue(work > 0.75 * bears && work <= 0.85 * bears, "sent " + work + " of " + bears);
    }

    // A request that came to no cache goes back before half of its client's time (3 s) is over.
    @Test
    void whatReachesNoCacheIsGivenBackEarly() {
        Bench b = new Bench().start(Bench.all());
        List<RouterAction> out = b.ask("x");
        int attempts = 0;
        while (!all(out, SendAttempt.class).isEmpty()) {
            b.now += 400 * MS;
            out = b.end(send(out), attempts++, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN);
        }
        assertEquals(3, attempts);
        assertEquals(1, all(out, RejectRequest.class).size());
        assertTrue(b.now - START <= 1500 * MS);
    }

    // A router that starts together with its whole zone has seen nothing served: the zone's link is its measure.
    @Test
    void aFreshRouterOfAFreshZoneGoesByTheZonesLink() {
        Bench b = new Bench();
        b.weightsTold = false;
        b.linkKbPerS = 60_000;
        Endpoint[] m = Bench.all();
        for (int i = 0; i < 4; i++) {
            m[i] = as(m[i], EndpointLifecycle.READY, START);
        }
        double work = workSent(b.start(m), 1, false);
        // 60,000 KB/s for 5,000 KB/s a transfer, as the four caches of two routers bear it, cold for 1.5 s.
        double bears = 60_000 / 5_000.0 * 1.4 / Math.sqrt(2) / 4 / 2;
        assertTrue(work > 0.25 * bears && work <= 2 * 0.25 * bears * 1.5, "sent " + work + " of " + bears);
    }

    @Test
    void aColdParentStaysInsideItsBudgetFillsCounted() {
        Endpoint[] m = Bench.all();
        m[4] = as(m[4], EndpointLifecycle.READY, START);
        double work = workSent(new Bench().start(m), 11, true);
        assertTrue(work > 0 && work <= 2 * 0.06 * 20 * 1.5 / 2, "sent " + work);
    }

    @Test
    void noCopyOlderThanAPurgeIsTaken() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt s = b.sent("x");
        assertEquals(0, s.maxAge());
        b.ok(s, CacheStatus.FILLED);
        b.feed(new ContentPurged("x", 3, 100 * MS));
        assertEquals(100 * MS, b.sent("x").maxAge());
        b.now += 400 * MS;
        assertEquals(500 * MS, b.sent("x").maxAge());
        assertEquals(0, b.sent("y").maxAge());
        b.feed(new ContentPurged(null, 3, 0));
        assertEquals(1, b.sent("y").maxAge());
        b.sweep(7000 * MS);
        assertEquals(0, b.sent("x").maxAge());
    }

    @Test
    void aPurgeEndsBeliefs() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt home = b.sent("hot");
        b.ok(home, CacheStatus.FILLED);
        firstAtAnother(b, home);
        b.feed(new ContentPurged("hot", 3, 0));
        for (int i = 0; i < 8; i++) {
            assertFalse(b.sent("hot").onlyIfCached());
        }
    }

    @Test
    void aFreshTimeBoundsTheAge() {
        Bench b = new Bench();
        b.goodFor = 200 * MS;
        b.start(Bench.all());
        b.feed(new ContentPurged("x", 3, 0));
        b.now += 900 * MS;
        SendAttempt s = b.sent("x");
        assertEquals(200 * MS, s.maxAge());
        assertTrue(s.refreshInBackground());
    }

    // ---- The exceptions ----
    @Test
    void aSilentCacheIsHedgedThenLeftAloneThenTried() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt s = b.sent("x");
        long ill = s.endpointId();
        SendAttempt hedge = send(b.sweep(1500 * MS));
        assertNotEquals(ill, hedge.endpointId());
        List<RouterAction> won = b.feed(new AttemptFinished(
                hedge.requestId(), 1, hedge.endpointId(), AttemptOutcome.OK, 9, true, CacheStatus.FILLED));
        assertEquals(1, all(won, CancelAttempt.class).size());
        for (int i = 0; i < 3; i++) {
            SendAttempt t = b.sent("x");
            if (t.endpointId() == ill) {
                b.sweep(1500 * MS);
            }
        }
        assertNotEquals(ill, b.sent("x").endpointId());
    }

    private static int atIll(Bench b, long ill, AttemptOutcome ending, int n) {
        int sent = 0;
        for (int i = 0; i < n; i++) {
            SendAttempt s = b.sent("o" + i);
            boolean hit = s.endpointId() == ill;
            sent += hit ? 1 : 0;
            b.now += 5 * MS;
            List<RouterAction> a =
                    b.end(s, 0, hit ? ending : AttemptOutcome.OK, hit ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
            for (SendAttempt again : all(a, SendAttempt.class)) {
                b.end(again, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        return sent;
    }

    @Test
    void aFastErringCacheDoesNotAttract() {
        Bench b = new Bench().start(Bench.all());
        assertTrue(atIll(b, 2, AttemptOutcome.ERROR, 150) <= 6);
        b.now += 10_000 * MS;
        assertTrue(atIll(b, 2, AttemptOutcome.OK, 150) > 15, "comes back after a good trial");
    }

    @Test
    void aTrialThatIsCalledOffIsFollowedByAnother() {
        Bench b = new Bench().start(Bench.all());
        atIll(b, 2, AttemptOutcome.ERROR, 150);
        b.now += 10_000 * MS;
        assertEquals(1, trials(b, AttemptOutcome.CANCELLED));
        assertEquals(1, trials(b, AttemptOutcome.CANCELLED));
    }

    private static int trials(Bench b, AttemptOutcome ending) {
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("t" + i);
            b.end(s, 0, s.endpointId() == 2 ? ending : AttemptOutcome.OK, CacheStatus.FILLED);
            if (s.endpointId() == 2) {
                return 1;
            }
        }
        return 0;
    }

    @Test
    void anErrorThatNamesItsSourceDoesNotEjectTheCache() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("o" + i);
            AttemptOutcome e = s.endpointId() == 2 && i < 40 ? AttemptOutcome.ERROR : AttemptOutcome.OK;
            for (SendAttempt again : all(
                    b.end(s, 0, e, e == AttemptOutcome.OK ? CacheStatus.FILLED : CacheStatus.SOURCE_FAILED),
                    SendAttempt.class)) {
                b.end(again, 1, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        assertEquals(1, trials(b, AttemptOutcome.OK));
    }

    @Test
    void ifAllLookIllAnAttemptIsStillMade() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 200; i++) {
            for (SendAttempt s : all(b.ask("o" + i), SendAttempt.class)) {
                b.end(s, 0, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            }
        }
        b.now += 200 * MS;
        assertEquals(1, all(b.ask("z"), SendAttempt.class).size());
    }

    @Test
    void aDeadZoneHoldsOneAttemptACacheUntilItAnswers() {
        Bench b = new Bench().start(Bench.all());
        long caches = List.of(Bench.all()).stream()
                .filter(m -> m.role() == EndpointRole.CACHE)
                .count();
        for (int i = 0; i < 200; i++) {
            int attempt = 0;
            for (List<SendAttempt> next = all(b.ask("dead" + i), SendAttempt.class); !next.isEmpty(); ) {
                next = all(
                        b.end(next.get(0), attempt++, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN),
                        SendAttempt.class);
            }
        }
        List<SendAttempt> out = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            List<RouterAction> to = b.ask("waits" + i);
            out.addAll(all(to, SendAttempt.class));
            assertEquals(
                    1,
                    all(to, SendAttempt.class).size()
                            + all(to, RejectRequest.class).size(),
                    "sent, or refused at once");
        }
        assertEquals(
                caches, out.stream().map(SendAttempt::endpointId).distinct().count());
        assertEquals(caches, out.size(), "one a cache: all routers' attempts come up at once when it returns");
        // It answers: more, step by step, before its wait is over.
        for (SendAttempt s : out) {
            b.end(s, 0, AttemptOutcome.OK, CacheStatus.FILLED);
        }
        for (int i = 0; i < 12; i++) {
            for (SendAttempt s : all(b.ask("back" + i), SendAttempt.class)) {
                b.end(s, 0, AttemptOutcome.OK, CacheStatus.FILLED);
            }
        }
        long more = 0;
        for (int i = 0; i < 100; i++) {
            more += all(b.ask("more" + i), SendAttempt.class).size();
        }
        assertTrue(more > 2 * caches, more + " at once");
    }

    @Test
    void whatACacheTurnsAwayTwiceIsNotSentThereAgainThoughTheOthersHaveNoRoom() {
        Bench b = new Bench();
        b.weightsTold = false;
        Endpoint[] few = {
            cache(1),
            as(cache(2), EndpointLifecycle.READY, START - 1000 * MS),
            as(cache(3), EndpointLifecycle.READY, START - 1000 * MS),
            parent(11),
            parent(12),
            Bench.ORIGIN
        };
        b.start(few);
        for (int i = 0; i < 60; i++) {
            SendAttempt s = b.sent("fills" + i); // The cold ones have had what they have room for.
            b.end(s, 0, AttemptOutcome.OK, CacheStatus.FILLED);
        }
        List<Integer> sent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int attempt = 0;
            sent.add(0);
            for (List<SendAttempt> next = all(b.ask("full" + i), SendAttempt.class); !next.isEmpty(); ) {
                boolean warm = next.get(0).endpointId() == 1;
                sent.set(i, sent.get(i) + (warm ? 1 : 0));
                next = all(
                        b.end(
                                next.get(0),
                                attempt++,
                                warm ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK,
                                CacheStatus.UNKNOWN),
                        SendAttempt.class);
            }
            b.now += 5 * MS;
        }
        assertTrue(sent.stream().allMatch(n -> n <= 2), "attempts of each: " + sent);
        assertTrue(sent.contains(2), "by another way once: " + sent);
    }

    @Test
    void overloadIsRefusedEarlyWithAdvice() {
        Bench b = new Bench().start(Bench.all());
        RejectRequest no = null;
        for (int i = 0; i < 200 && no == null; i++) {
            List<RejectRequest> r = all(b.ask("o" + i), RejectRequest.class);
            no = r.isEmpty() ? null : r.get(0);
        }
        assertTrue(no != null && no.retryAfter() > 0 && no.retryAfter() <= 2000 * MS);
    }

    // Orders are few and nothing but the origin can serve them: they are not shed with the rest.
    @Test
    void anOrderPassesGatesThatAreShut() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 200; i++) {
            b.ask("o" + i);
        }
        assertEquals(1, all(b.ask("y"), RejectRequest.class).size());
        SendAttempt order =
                send(b.feed(new RequestArrived(999_999, 0, "x", 0, 3, 500, b.now + 3000 * MS, false, true)));
        assertTrue(order.fillSourceId() == 11 || order.fillSourceId() == 12, "filled from a parent: " + order);
    }

    @Test
    void whileFillsAreFullOnlyWhatIsHeldIsAsked() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt last = null;
        for (int i = 0; i < 30; i++) {
            last = b.sent("o" + i);
        }
        assertEquals(last.endpointId(), last.fillSourceId());
        assertEquals(
                1,
                all(b.end(last, 0, AttemptOutcome.MISS, CacheStatus.UNKNOWN), RejectRequest.class)
                        .size());
    }

    @Test
    void aGateAtItsLeastWidensAgain() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            b.now += 200 * MS;
            SendAttempt s = b.sent("late" + i);
            b.feed(new AttemptFinished(
                    s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, 2500 * MS, true, CacheStatus.FILLED));
        }
        for (int i = 0; i < 200; i++) {
            SendAttempt s = b.sent("n" + i);
            SendAttempt t = b.sent("m" + i);
            b.ok(s, CacheStatus.FILLED);
            b.ok(t, CacheStatus.FILLED);
        }
        int fills = 0;
        for (int i = 0; i < 10; i++) {
            SendAttempt s = b.sent("z" + i);
            fills += s.fillSourceId() != s.endpointId() ? 1 : 0;
        }
        assertTrue(fills > 3, fills + " fills");
    }

    // Whether a request of three times the mean may be filled while four tenths of the gate are in use.
    private static boolean fillsThreefold(long latencyMs) {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            b.now += 300 * MS;
            SendAttempt s = b.sent("o" + i);
            b.feed(new AttemptFinished(
                    s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, latencyMs * MS, true, CacheStatus.FILLED));
        }
        for (int i = 0; i < 5; i++) {
            b.sent("p" + i);
        }
        SendAttempt large =
                send(b.feed(new RequestArrived(900, 0, "large", 0, 3, 1500, b.now + 3000 * MS, false, false)));
        return large.endpointId() != large.fillSourceId();
    }

    @Test
    void underPressureLargeRequestsAreShedFirst() {
        assertFalse(fillsThreefold(300));
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 12; i++) {
            b.sent("o" + i);
        }
        SendAttempt giant =
                send(b.feed(new RequestArrived(900, 0, "giant", 0, 3, 50_000, b.now + 30_000 * MS, false, false)));
        assertEquals(giant.endpointId(), giant.fillSourceId());
        SendAttempt usual = b.sent("usual");
        assertNotEquals(usual.endpointId(), usual.fillSourceId());
    }

    @Test
    void whereAllGoesWellLargeRequestsAreServed() {
        assertTrue(fillsThreefold(110));
    }

    @Test
    void aCrowdedCacheIsSkipped() {
        Bench b = new Bench();
        b.inParts = true;
        b.start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            used.add(send(b.feed(b.request("film", 0))).endpointId());
        }
        assertTrue(used.size() > 1);
    }

    @Test
    void withoutCachesAParentServesWhereThatIsAllowed() {
        Bench b = new Bench();
        b.mayPassBy = true;
        b.start(parent(11), parent(12), Bench.ORIGIN);
        SendAttempt s = b.sent("x");
        assertTrue(s.endpointId() == 11 || s.endpointId() == 12);
        assertEquals(21, s.fillSourceId());
    }

    @Test
    void furtherAttemptsHaveABudget() {
        Bench b = new Bench().start(Bench.all());
        int attempts = 0;
        for (int i = 0; i < 100; i++) {
            List<RouterAction> a = b.ask("o" + i);
            for (int n = 0; !all(a, SendAttempt.class).isEmpty(); n++) {
                attempts++;
                a = b.end(send(a), n, AttemptOutcome.ERROR, CacheStatus.UNKNOWN);
            }
        }
        assertTrue(attempts <= 100 + 20 + 100 * 0.2 + 1, attempts + " attempts");
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        Bench b = new Bench().start(Bench.all());
        SendAttempt s = b.sent("x");
        b.ok(s, CacheStatus.HIT);
        assertEquals(List.of(), b.ok(s, CacheStatus.HIT));
        assertEquals(
                List.of(),
                b.feed(
                        new AttemptFinished(99, 0, 1, AttemptOutcome.OK, 1, true, CacheStatus.HIT),
                        new ClientDisconnected(99),
                        new StreamStarted(99, 0)));
        assertEquals(List.of(), b.feed());
    }

    @Test
    void aListThatMustBeAskedForIsAskedForAgainAfterAFailure() {
        Bench b = new Bench();
        b.pushed = false;
        b.start(Bench.all());
        StartTimer t = all(b.feed(new EndpointsChanged(EndpointUpdateKind.FAILED, List.of())), StartTimer.class)
                .get(0);
        assertEquals(
                1, all(b.feed(new TimerFired(t.name())), WatchEndpoints.class).size());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<RouterAction>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Bench b = new Bench().start(Bench.all());
            List<RouterAction> out = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                b.now += 3 * MS;
                List<RouterAction> a = b.ask("o" + i % 50);
                out.addAll(a);
                for (SendAttempt s : all(a, SendAttempt.class)) {
                    AttemptOutcome e =
                            i % 7 == 0 ? AttemptOutcome.ERROR : i % 5 == 0 ? AttemptOutcome.MISS : AttemptOutcome.OK;
                    out.addAll(b.end(s, 0, e, CacheStatus.FILLED));
                }
            }
            runs.add(out);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    // ---- At size ----
    private static int members(int routers, int[] seats, int accesses) {
        Bench b = new Bench();
        b.routers = routers;
        b.seats = seats;
        b.start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < accesses; i++) {
            SendAttempt s = b.sent("hot");
            used.add(s.endpointId());
            b.ok(s, i == 0 ? CacheStatus.FILLED : CacheStatus.HIT);
        }
        return used.size();
    }

    @Test
    void growthFollowsTheZonesDemandWhateverItsSeats() {
        assertEquals(1, members(1, new int[] {1}, 3));
        assertEquals(1, members(200, new int[] {1}, 3));
        assertEquals(3, members(200, new int[] {8}, 3));
    }

    private static int fillsLetThrough(int seats) {
        Bench b = new Bench();
        b.routers = 200;
        b.seats = new int[] {seats};
        b.start(Bench.all());
        int fills = 0;
        for (int i = 0; i < 100; i++) {
            for (SendAttempt s : all(b.ask("o" + i), SendAttempt.class)) {
                fills += s.fillSourceId() != s.endpointId() ? 1 : 0;
            }
        }
        return fills;
    }

    @Test
    void theSeatsOfAZoneShareItsGateOfFills() {
        int alone = fillsLetThrough(1);
        int oneOfNine = fillsLetThrough(9);
        assertTrue(oneOfNine >= 1 && oneOfNine <= alone / 2, alone + " and " + oneOfNine);
    }

    @Test
    void aLostAnswerIsRepeatedThoughItsCacheAnswersOthersAndIsNotEjected() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 8; i++) {
            b.ok(b.sent("x"), i == 0 ? CacheStatus.FILLED : CacheStatus.HIT);
        }
        b.now += 60_000 * MS;
        b.ok(b.sent("x"), CacheStatus.FILLED);
        for (int i = 0; i < 12; i++) {
            SendAttempt lost = b.sent("x");
            b.now += 400 * MS;
            SendAttempt other = b.sent("x");
            b.end(other, 0, AttemptOutcome.OK, CacheStatus.HIT);
            SendAttempt repeat = send(b.sweep(100 * MS));
            assertEquals(lost.requestId(), repeat.requestId());
            assertNotEquals(lost.endpointId(), repeat.endpointId());
            b.feed(new AttemptFinished(
                    repeat.requestId(), 1, repeat.endpointId(), AttemptOutcome.OK, 20 * MS, true, CacheStatus.HIT));
            b.now += 10_000 * MS;
            SendAttempt home = b.sent("x");
            assertEquals(lost.endpointId(), home.endpointId());
            b.ok(home, CacheStatus.HIT);
        }
    }

    @Test
    void aLaggingParentLosesItsFillsAndClosesNoGate() {
        Bench b = new Bench().start(Bench.all());
        int atSlow = 0;
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            b.now += 50 * MS;
            List<RouterAction> a = b.ask("o" + i);
            refused += all(a, RejectRequest.class).size();
            for (SendAttempt s : all(a, SendAttempt.class)) {
                boolean slow = s.fillSourceId() == 11;
                atSlow += slow && i >= 200 ? 1 : 0;
                b.feed(new AttemptFinished(
                        s.requestId(),
                        0,
                        s.endpointId(),
                        AttemptOutcome.OK,
                        slow ? 2000 * MS : 120 * MS,
                        true,
                        CacheStatus.FILLED));
            }
        }
        assertTrue(atSlow < 20, atSlow + " of 200 fills");
        assertEquals(0, refused);
        atSlow = 0;
        for (int i = 0; i < 400; i++) {
            b.now += 50 * MS;
            SendAttempt s = b.sent("p" + i);
            atSlow += s.fillSourceId() == 11 && i >= 300 ? 1 : 0;
            b.feed(new AttemptFinished(
                    s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, 120 * MS, true, CacheStatus.FILLED));
        }
        assertTrue(atSlow > 20, atSlow + " of 100 fills once it is well");
    }

    // A parent that lost its way to the origin: three of five fills from it end with an error, all else is well.
    private static int[] fillsWhileOneParentErrs(Idempotency effect) {
        Bench b = new Bench();
        b.notes = CacheStatusDetail.HITS;
        b.effect = effect;
        b.parallel = false;
        b.start(Bench.all());
        int[] from = new int[2];
        for (int i = 0; i < 600; i++) {
            b.now += 50 * MS;
            SendAttempt s = b.sent("e" + i);
            for (int n = 0; s != null; n++) {
                from[i >= 100 && s.fillSourceId() == 11 ? 1 : 0]++;
                boolean fails = s.fillSourceId() == 11 && i % 5 < 3;
                List<RouterAction> then = b.end(
                        s,
                        n,
                        fails ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                        fails ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
                s = then.isEmpty() || !(then.get(0) instanceof SendAttempt) ? null : (SendAttempt) then.get(0);
            }
        }
        return from;
    }

    @Test
    void aParentThatErrsWhereOthersServeLosesItsFills() {
        int[] from = fillsWhileOneParentErrs(Idempotency.SAFE);
        assertTrue(from[1] < 100, from[1] + " fills at the parent that errs, " + from[0] + " elsewhere");
        int[] orders = fillsWhileOneParentErrs(Idempotency.NON_IDEMPOTENT);
        assertTrue(orders[1] < 10, orders[1] + " orders by way of the parent that errs, " + orders[0] + " elsewhere");
    }

    @Test
    void errorsByWayOfAllParentsEjectNone() {
        Bench b = new Bench();
        b.notes = CacheStatusDetail.HITS;
        b.effect = Idempotency.NON_IDEMPOTENT;
        b.start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            b.now += 50 * MS;
            SendAttempt s = b.sent("f" + i);
            used.add(s.fillSourceId());
            b.end(
                    s,
                    0,
                    i % 5 < 3 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                    i % 5 < 3 ? CacheStatus.UNKNOWN : CacheStatus.FILLED);
        }
        assertEquals(Set.of(11L, 12L), used);
    }

    @Test
    void aSlowZoneEjectsNone() {
        Bench b = new Bench().start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            b.now += 300 * MS;
            for (SendAttempt s : all(b.ask("o" + i), SendAttempt.class)) {
                used.add(s.endpointId());
                b.feed(new AttemptFinished(
                        s.requestId(), 0, s.endpointId(), AttemptOutcome.OK, 2000 * MS, true, CacheStatus.HIT));
            }
            if (i == 150) {
                used.clear();
            }
        }
        assertEquals(4, used.size());
    }

    private static int sentAfterAllRestart(boolean servedBefore, int outageMs) {
        Bench b = new Bench();
        b.weightsTold = false;
        b.start(Bench.all());
        for (int i = 0; i < 400; i++) {
            b.sweep(10 * MS);
            for (SendAttempt s : all(b.ask("x" + i % 20), SendAttempt.class)) {
                b.end(
                        s,
                        0,
                        servedBefore ? AttemptOutcome.OK : AttemptOutcome.MISS,
                        servedBefore ? CacheStatus.HIT : CacheStatus.UNKNOWN);
            }
        }
        for (int i = 0; i < outageMs / 20; i++) {
            b.sweep(20 * MS);
        }
        List<Endpoint> cold = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            cold.add(as(cache(id), EndpointLifecycle.READY, b.now));
        }
        b.feed(new EndpointsChanged(EndpointUpdateKind.DELTA, cold));
        b.now += 2000 * MS;
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += all(b.sweep(10 * MS), SendAttempt.class).size()
                    + all(b.ask("y" + i), SendAttempt.class).size();
        }
        return sent;
    }

    @Test
    void aZoneThatRestartsAsAWholeGetsWhatItsCachesBoreBefore() {
        int known = sentAfterAllRestart(true, 0);
        int unknown = sentAfterAllRestart(false, 0);
        assertTrue(known > unknown, known + " and " + unknown);
    }

    // A zone is lost seconds before the list tells of it: what its caches bore until then must not be forgotten.
    @Test
    void anOutageBeforeTheRestartIsNotTakenForWeakness() {
        int after = sentAfterAllRestart(true, 10_000);
        assertTrue(after > 0.7 * sentAfterAllRestart(true, 0), "sent " + after);
    }

    @Test
    void oddSeatsAndRouterCountsAreBorne() {
        for (int[] seats : new int[][] {{}, {0}, {-3}, {1}}) {
            for (int routers : new int[] {0, 1, 260}) {
                Bench b = new Bench();
                b.routers = routers;
                b.seats = seats;
                b.mayTell = true;
                b.weightsTold = false;
                b.start(Bench.all());
                Endpoint cold = as(parent(11), EndpointLifecycle.READY, START);
                Endpoint gone = as(cache(77), EndpointLifecycle.GONE, 0);
                b.feed(
                        new EndpointsChanged(EndpointUpdateKind.DELTA, List.of(cold, cold, gone, gone)),
                        new GossipReceived(routers, new byte[11]));
                for (int i = 0; i < 20; i++) {
                    b.ok(b.sent("x" + i), CacheStatus.FILLED);
                }
                b.sweep(5000 * MS);
            }
        }
    }

    @Test
    void whereAnswersGetLostAnAttemptIsMadeAgainSooner() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        assertTrue(cancelled(b, "fresh").isEmpty(), "a slow answer is waited for");
        for (int i = 0; i < 6; i++) {
            SendAttempt s = b.sent("lost" + i);
            for (int k = 0; k < 12; k++) {
                b.ok(b.sent("well" + i + "-" + k), CacheStatus.HIT); // The caches are well.
            }
            b.sweep(600 * Bench.MS); // Overdue, and too late to be made again inside its aim.
            b.now += 2_400 * Bench.MS;
            b.end(s, 0, AttemptOutcome.TIMEOUT, CacheStatus.UNKNOWN);
        }
        SendAttempt s = b.sent("again");
        for (int k = 0; k < 12; k++) {
            b.ok(b.sent("well-" + k), CacheStatus.HIT);
        }
        assertEquals(1, Bench.all(b.sweep(60 * Bench.MS), CancelAttempt.class).size(), "lost, not slow");
        SendAttempt next = Bench.send(b.end(s, 0, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN));
        assertTrue(next.endpointId() != s.endpointId());
        for (int i = 0; i < 6 * 60 * 50; i++) {
            b.sweep(20 * Bench.MS); // Six minutes on: what was seen has faded.
        }
        assertTrue(cancelled(b, "later").isEmpty());
    }

    @Test
    void anOutageIsNotTakenForLostAnswers() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        for (int i = 0; i < 12; i++) {
            SendAttempt s = b.sent("silent" + i);
            b.sweep(600 * Bench.MS);
            b.now += 2_400 * Bench.MS;
            b.end(s, 0, AttemptOutcome.TIMEOUT, CacheStatus.UNKNOWN); // Nobody answered anything meanwhile.
        }
        b.now += 10_000 * Bench.MS;
        for (int i = 0; i < 40; i++) {
            b.ok(b.sent("back" + i), CacheStatus.HIT);
        }
        assertTrue(cancelled(b, "slow").isEmpty(), "a slow answer is waited for, as before the outage");
    }

    private static List<CancelAttempt> cancelled(Bench b, String object) {
        SendAttempt s = b.sent(object);
        for (int k = 0; k < 12; k++) {
            b.ok(b.sent(object + k), CacheStatus.HIT);
        }
        List<CancelAttempt> found = Bench.all(b.sweep(60 * Bench.MS), CancelAttempt.class);
        b.end(s, 0, AttemptOutcome.OK, CacheStatus.HIT);
        return found;
    }
}
