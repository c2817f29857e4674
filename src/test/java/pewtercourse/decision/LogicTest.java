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

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pewtercourse.decision.Router.Action;
import pewtercourse.decision.Router.Ending;
import pewtercourse.decision.Router.Member;
import pewtercourse.decision.Router.Note;
import pewtercourse.decision.Router.Send;
import pewtercourse.decision.Router.State;

class LogicTest {
    // ---- The mechanism ----
    @Test
    void homeIsTheSameAtEveryRouterWhateverTheListsOrder() {
        Bench a = new Bench().start(Bench.all());
        Bench b = new Bench();
        b.me = 1;
        b.start(Bench.ORIGIN, parent(12), parent(11), cache(4), cache(3), cache(2), cache(1));
        Set<Long> homes = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            Send x = a.sent("o" + i);
            Send y = b.sent("o" + i);
            assertEquals(x.member(), y.member());
            assertEquals(x.source(), y.source());
            homes.add(x.member());
            a.ok(x, Note.FILLED);
            b.ok(y, Note.FILLED);
        }
        assertEquals(4, homes.size());
    }

    @Test
    void aLeavingCacheMovesOnlyItsOwnObjects() {
        Bench a = new Bench().start(Bench.all());
        Bench b = new Bench().start(cache(1), cache(2), cache(3), parent(11), parent(12), Bench.ORIGIN);
        for (int i = 0; i < 40; i++) {
            Send x = a.sent("o" + i);
            Send y = b.sent("o" + i);
            if (x.member() != 4) {
                assertEquals(x.member(), y.member());
            }
            a.ok(x, Note.FILLED);
            b.ok(y, Note.FILLED);
        }
    }

    @Test
    void aQuietObjectStaysAtItsHomeAndAHotOneGrowsButNeverToAll() {
        Bench b = new Bench().start(Bench.all());
        Send first = b.sent("hot");
        b.ok(first, Note.FILLED);
        Send second = b.sent("hot");
        b.ok(second, Note.HIT);
        assertEquals(first.member(), second.member());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("hot");
            used.add(s.member());
            b.ok(s, Note.HIT);
        }
        assertEquals(3, used.size());
    }

    @Test
    void growthEndsOnceCountsHaveHalved() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        Send home = b.sent("hot");
        b.ok(home, Note.FILLED);
        for (int i = 0; i < 60; i++) {
            b.ok(b.sent("hot"), Note.HIT);
        }
        b.now += 60_000 * MS;
        for (int i = 0; i < 3; i++) {
            Send s = b.sent("hot");
            assertEquals(home.member(), s.member());
            b.ok(s, Note.FILLED);
        }
    }

    @Test
    void aPileOfRequestsInOneBatchCountsOnce() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        Send home = b.sent("quiet");
        b.ok(home, Note.FILLED);
        List<Router.Event> pile = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            pile.add(b.request("quiet", 0));
        }
        for (Send s : all(b.logic.handle(b.now, pile), Send.class)) {
            b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, 10 * MS, true, Note.HIT));
        }
        assertEquals(home.member(), b.sent("quiet").member());
    }

    @Test
    void rankFollowsTheCountAndTheSize() {
        Bench b = new Bench();
        b.routers = 1;
        b.start(Bench.all());
        Send s = b.sent("a");
        assertEquals(1, s.keep());
        b.ok(s, Note.FILLED);
        for (int i = 0; i < 30; i++) {
            s = b.sent("a");
            b.ok(s, Note.HIT);
        }
        assertEquals(3, s.keep());
        for (int i = 0; i < 6; i++) {
            s = b.sent("big");
            b.ok(s, Note.HIT);
        }
        assertEquals(2, s.keep());
    }

    /** Makes an object hot enough that a cache that lacks it is asked. */
    private static Send firstAtAnother(Bench b, Send home) {
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("hot");
            if (s.member() != home.member()) {
                return s;
            }
            b.ok(s, Note.HIT);
        }
        throw new AssertionError("never grew");
    }

    @Test
    void aCacheThatLacksItFillsFromTheHomeThenFromTheParent() {
        Bench b = new Bench().start(Bench.all());
        Send home = b.sent("hot");
        assertTrue(home.source() >= 11 && !home.sourceHoldsOnly());
        b.ok(home, Note.FILLED);
        Send copy = firstAtAnother(b, home);
        assertEquals(home.member(), copy.source());
        assertTrue(copy.sourceHoldsOnly());
        Send next = send(b.end(copy, 0, Ending.MISS, Note.SOURCE_LACKS));
        assertEquals(copy.member(), next.member());
        assertEquals(home.source(), next.source());
        assertFalse(next.sourceHoldsOnly());
    }

    @Test
    void aBeliefAgesOut() {
        Bench b = new Bench().start(Bench.all());
        Send home = b.sent("hot");
        b.ok(home, Note.FILLED);
        firstAtAnother(b, home);
        b.now += 13_000 * MS;
        for (int i = 0; i < 20; i++) {
            Send s = b.sent("hot");
            assertFalse(s.sourceHoldsOnly());
            b.end(s, 0, Ending.CANCELLED, Note.NONE);
        }
    }

    @Test
    void parentsFollowInHashOrderAndTheOriginOnlyIfNoneIsUp() {
        Bench b = new Bench().start(Bench.all());
        Bench onlyOne = new Bench().start(cache(1), cache(2), parent(12), Bench.ORIGIN);
        Bench none = new Bench().start(cache(1), cache(2), Bench.ORIGIN);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            Send s = b.sent("o" + i);
            used.add(s.source());
            b.ok(s, Note.FILLED);
            Send t = onlyOne.sent("o" + i);
            assertEquals(12, t.source());
            onlyOne.ok(t, Note.FILLED);
            Send u = none.sent("o" + i);
            assertEquals(21, u.source());
            none.ok(u, Note.FILLED);
        }
        assertEquals(Set.of(11L, 12L), used);
    }

    @Test
    void aFailedSourceIsBlamedNotTheCache() {
        Bench b = new Bench().start(Bench.all());
        Send s = b.sent("x");
        Send next = send(b.end(s, 0, Ending.FULL, Note.SOURCE_FAILED));
        assertEquals(s.member(), next.member());
        assertNotEquals(s.source(), next.source());
        assertTrue(next.source() == 11 || next.source() == 12);
    }

    @Test
    void aParentWhoseFillsAreAllRefusedIsLeftBeforeTheListTellsOfIt() {
        Bench b = new Bench();
        b.notes = Router.Notes.HITS;
        b.start(Bench.all());
        int toIll = 0;
        for (int i = 0; i < 60; i++) {
            b.now += 5 * MS;
            Send s = b.sent("o" + i);
            if (s.source() == 11) {
                toIll++;
                Send next = send(b.end(s, 0, Ending.FULL, Note.NONE));
                assertNotEquals(11, next.source(), "the same parent again");
                b.end(next, 1, Ending.OK, Note.FILLED);
            } else {
                b.ok(s, Note.FILLED);
            }
        }
        assertTrue(toIll <= 6, "asked " + toIll + " times");
    }

    @Test
    void aRequestThatTwoCachesAnswerWithAnErrorIsGivenBackAndEjectsNone() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 40; i++) {
            Send s = b.sent("bad" + i);
            Send next = send(b.end(s, 0, Ending.ERROR, Note.NONE));
            assertEquals(
                    1,
                    all(b.end(next, 1, Ending.ERROR, Note.NONE), Router.Refuse.class)
                            .size());
            b.ok(b.sent("good" + i), Note.FILLED);
            b.ok(b.sent("fine" + i), Note.FILLED);
            b.ok(b.sent("well" + i), Note.FILLED);
        }
        java.util.Set<Long> used = new java.util.HashSet<>();
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("o" + i);
            used.add(s.member());
            b.ok(s, Note.FILLED);
        }
        assertEquals(java.util.Set.of(1L, 2L, 3L, 4L), used);
    }

    @Test
    void partsOfAGrownObjectAreDealtOverItsCaches() {
        Bench b = new Bench();
        b.inParts = true;
        b.start(Bench.all());
        for (int i = 0; i < 40; i++) {
            b.ok(send(b.feed(b.request("film", i % 10))), Note.FILLED);
        }
        Send x = send(b.feed(b.request("film", 3)));
        b.ok(x, Note.HIT);
        Send y = send(b.feed(b.request("film", 3)));
        assertEquals(x.member(), y.member());
        b.ok(y, Note.HIT);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            Send s = send(b.feed(b.request("film", i)));
            used.add(s.member());
            b.ok(s, Note.HIT);
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
                b[0].ok(b[0].sent("o" + o), Note.HIT);
            }
        }
        b[1].now = b[0].now;
        for (Router.Tell t : all(b[0].sweep(5000 * MS), Router.Tell.class)) {
            assertEquals(1, t.router());
            assertTrue(t.bytes().length <= 256);
            told++;
            for (Router.Tell back : all(b[1].feed(new Router.PeerMessage(0, t.bytes())), Router.Tell.class)) {
                assertEquals(0, back.router());
                b[0].feed(new Router.PeerMessage(1, back.bytes()));
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
            assertEquals(List.of(), b.feed(new Router.PeerMessage(1, m)));
        }
        byte[] report = new byte[11];
        report[0] = 1;
        assertEquals(List.of(), b.feed(new Router.PeerMessage(9, report)));
        assertEquals(1, b.feed(new Router.PeerMessage(1, report)).size());
    }

    // ---- The rules ----
    @Test
    void everyRequestGetsOneFinalAnswer() {
        Bench b = new Bench().start(Bench.all());
        Send s = b.sent("x");
        List<Action> out = new ArrayList<>();
        int tries = 0;
        while (tries < 20) {
            List<Action> a = b.end(s, tries++, Ending.ERROR, Note.NONE);
            out.addAll(a);
            if (all(a, Send.class).isEmpty()) {
                break;
            }
            s = send(a);
        }
        assertEquals(1, all(out, Router.Refuse.class).size());
        assertTrue(tries <= 8);
        assertEquals(List.of(), b.end(s, tries, Ending.ERROR, Note.NONE));
    }

    @Test
    void anEmptyListMeansARefusalAtOnce() {
        Bench b = new Bench().start();
        assertEquals(1, all(b.ask("x"), Router.Refuse.class).size());
    }

    @Test
    void noAttemptStartsThatCannotEndInTime() {
        Bench b = new Bench().start(Bench.all());
        List<Action> a = b.feed(new Router.Request(5, 0, "x", 0, 1, 50_000, b.now + 3000 * MS, false, false));
        assertEquals(1, all(a, Router.Refuse.class).size());
    }

    @Test
    void aSideEffectThatMayHaveRunIsNeverRepeatedNorRefused() {
        for (Ending e : List.of(Ending.ERROR, Ending.TIMEOUT, Ending.RESET)) {
            Bench b = new Bench();
            b.effect = Router.Effect.SIDE_EFFECT;
            b.start(Bench.all());
            List<Action> a = b.end(b.sent("x"), 0, e, Note.NONE);
            assertEquals(1, all(a, Router.Fail.class).size());
            assertEquals(1, a.size());
        }
        Bench b = new Bench();
        b.effect = Router.Effect.SIDE_EFFECT;
        b.start(Bench.all());
        send(b.end(b.sent("x"), 0, Ending.CONNECT_FAILED, Note.NONE));
    }

    @Test
    void aTokenIsRepeatedOnlyInItsGroupAndItsTime() {
        Bench b = new Bench();
        b.effect = Router.Effect.TOKEN;
        b.group = Router.Group.CELL;
        b.start(Bench.all());
        Send s = b.sent("x");
        Send next = send(b.end(s, 0, Ending.ERROR, Note.NONE));
        assertEquals(s.member() % 2, next.member() % 2);
        b.now += 2500 * MS;
        List<Action> late = b.end(next, 1, Ending.ERROR, Note.NONE);
        assertEquals(1, all(late, Router.Fail.class).size());
    }

    @Test
    void withoutParallelTriesTheFirstIsCalledOffBeforeTheSecond() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        b.ok(b.sent("x"), Note.FILLED);
        Send s = b.sent("x");
        List<Action> a = b.sweep(455 * MS);
        assertEquals(0, all(a, Send.class).size());
        assertEquals(1, all(a, Router.Cancel.class).size());
        Send next = send(b.end(s, 0, Ending.CANCELLED, Note.NONE));
        assertNotEquals(s.member(), next.member());
    }

    @Test
    void anAttemptWhoseSuccessorWouldBeLateIsWaitedForWhereTwoMayNotRun() {
        Bench b = new Bench();
        b.parallel = false;
        b.start(Bench.all());
        b.ok(b.sent("x"), Note.FILLED);
        b.sent("x");
        assertEquals(0, all(b.sweep(900 * MS), Router.Cancel.class).size());
    }

    @Test
    void aDrainingCacheGetsNothingAndIsNoSource() {
        Bench b = new Bench().start(Bench.all());
        Send home = b.sent("hot");
        b.ok(home, Note.FILLED);
        Member leaving = cache(home.member());
        b.feed(new Router.Listed(Router.ListKind.CHANGES, List.of(as(leaving, State.DRAINING, 0))));
        for (int i = 0; i < 40; i++) {
            Send s = b.sent("hot");
            assertNotEquals(home.member(), s.member());
            assertNotEquals(home.member(), s.source());
            b.ok(s, Note.HIT);
        }
    }

    private static double workSent(Bench b, long id, boolean asSource) {
        double work = 0;
        for (int i = 0; i < 400; i++) {
            for (Send s : all(b.ask("o" + i), Send.class)) {
                if ((asSource ? s.source() : s.member()) == id) {
                    work += 0.1;
                }
                b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, MS, true, Note.FILLED));
            }
        }
        return work;
    }

    @Test
    void aColdCacheStaysInsideItsBudget() {
        Member[] m = Bench.all();
        m[0] = as(m[0], State.READY, START);
        double work = workSent(new Bench().start(m), 1, false);
        assertTrue(work > 0 && work <= 3 * 0.2 * 8 * 1.5 / 2, "sent " + work);
        assertTrue(workSent(new Bench().start(Bench.all()), 1, false) > 3 * 0.2 * 8 * 1.5 / 2);
    }

    @Test
    void aColdCacheOfUnknownSizeGetsLittle() {
        Bench b = new Bench();
        b.weightsTold = false;
        Member[] m = Bench.all();
        m[0] = as(m[0], State.READY, START);
        assertTrue(workSent(b.start(m), 1, false) < 10);
    }

    // 1.5 s after its start a cache could do 0.2 of its 8 at first and 0.267 now: in all 0.233 x 1.5 s.
    @Test
    void aWarmingCacheGetsByTheMeanOfTheWindow() {
        Member[] m = Bench.all();
        m[0] = as(m[0], State.READY, START);
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
        List<Action> out = b.ask("x");
        int attempts = 0;
        while (!all(out, Send.class).isEmpty()) {
            b.now += 400 * MS;
            out = b.end(send(out), attempts++, Ending.CONNECT_FAILED, Note.NONE);
        }
        assertEquals(3, attempts);
        assertEquals(1, all(out, Router.Refuse.class).size());
        assertTrue(b.now - START <= 1500 * MS);
    }

    // A router that starts together with its whole zone has seen nothing served: the zone's link is its measure.
    @Test
    void aFreshRouterOfAFreshZoneGoesByTheZonesLink() {
        Bench b = new Bench();
        b.weightsTold = false;
        b.linkKbPerS = 60_000;
        Member[] m = Bench.all();
        for (int i = 0; i < 4; i++) {
            m[i] = as(m[i], State.READY, START);
        }
        double work = workSent(b.start(m), 1, false);
        // 60,000 KB/s for 5,000 KB/s a transfer, as the four caches of two routers bear it, cold for 1.5 s.
        double bears = 60_000 / 5_000.0 * 1.4 / Math.sqrt(2) / 4 / 2;
        assertTrue(work > 0.25 * bears && work <= 2 * 0.25 * bears * 1.5, "sent " + work + " of " + bears);
    }

    @Test
    void aColdParentStaysInsideItsBudgetFillsCounted() {
        Member[] m = Bench.all();
        m[4] = as(m[4], State.READY, START);
        double work = workSent(new Bench().start(m), 11, true);
        assertTrue(work > 0 && work <= 2 * 0.06 * 20 * 1.5 / 2, "sent " + work);
    }

    @Test
    void noCopyOlderThanAPurgeIsTaken() {
        Bench b = new Bench().start(Bench.all());
        Send s = b.sent("x");
        assertEquals(0, s.maxAge());
        b.ok(s, Note.FILLED);
        b.feed(new Router.Purged("x", 3, 100 * MS));
        assertEquals(100 * MS, b.sent("x").maxAge());
        b.now += 400 * MS;
        assertEquals(500 * MS, b.sent("x").maxAge());
        assertEquals(0, b.sent("y").maxAge());
        b.feed(new Router.Purged(null, 3, 0));
        assertEquals(1, b.sent("y").maxAge());
        b.sweep(7000 * MS);
        assertEquals(0, b.sent("x").maxAge());
    }

    @Test
    void aPurgeEndsBeliefs() {
        Bench b = new Bench().start(Bench.all());
        Send home = b.sent("hot");
        b.ok(home, Note.FILLED);
        firstAtAnother(b, home);
        b.feed(new Router.Purged("hot", 3, 0));
        for (int i = 0; i < 8; i++) {
            assertFalse(b.sent("hot").sourceHoldsOnly());
        }
    }

    @Test
    void aFreshTimeBoundsTheAge() {
        Bench b = new Bench();
        b.goodFor = 200 * MS;
        b.start(Bench.all());
        b.feed(new Router.Purged("x", 3, 0));
        b.now += 900 * MS;
        Send s = b.sent("x");
        assertEquals(200 * MS, s.maxAge());
        assertTrue(s.renew());
    }

    // ---- The exceptions ----
    @Test
    void aSilentCacheIsHedgedThenLeftAloneThenTried() {
        Bench b = new Bench().start(Bench.all());
        Send s = b.sent("x");
        long ill = s.member();
        Send hedge = send(b.sweep(1500 * MS));
        assertNotEquals(ill, hedge.member());
        List<Action> won = b.feed(new Router.Outcome(hedge.id(), 1, hedge.member(), Ending.OK, 9, true, Note.FILLED));
        assertEquals(1, all(won, Router.Cancel.class).size());
        for (int i = 0; i < 3; i++) {
            Send t = b.sent("x");
            if (t.member() == ill) {
                b.sweep(1500 * MS);
            }
        }
        assertNotEquals(ill, b.sent("x").member());
    }

    private static int atIll(Bench b, long ill, Ending ending, int n) {
        int sent = 0;
        for (int i = 0; i < n; i++) {
            Send s = b.sent("o" + i);
            boolean hit = s.member() == ill;
            sent += hit ? 1 : 0;
            b.now += 5 * MS;
            List<Action> a = b.end(s, 0, hit ? ending : Ending.OK, hit ? Note.NONE : Note.FILLED);
            for (Send again : all(a, Send.class)) {
                b.end(again, 1, Ending.OK, Note.FILLED);
            }
        }
        return sent;
    }

    @Test
    void aFastErringCacheDoesNotAttract() {
        Bench b = new Bench().start(Bench.all());
        assertTrue(atIll(b, 2, Ending.ERROR, 150) <= 6);
        b.now += 10_000 * MS;
        assertTrue(atIll(b, 2, Ending.OK, 150) > 15, "comes back after a good trial");
    }

    @Test
    void aTrialThatIsCalledOffIsFollowedByAnother() {
        Bench b = new Bench().start(Bench.all());
        atIll(b, 2, Ending.ERROR, 150);
        b.now += 10_000 * MS;
        assertEquals(1, trials(b, Ending.CANCELLED));
        assertEquals(1, trials(b, Ending.CANCELLED));
    }

    private static int trials(Bench b, Ending ending) {
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("t" + i);
            b.end(s, 0, s.member() == 2 ? ending : Ending.OK, Note.FILLED);
            if (s.member() == 2) {
                return 1;
            }
        }
        return 0;
    }

    @Test
    void anErrorThatNamesItsSourceDoesNotEjectTheCache() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("o" + i);
            Ending e = s.member() == 2 && i < 40 ? Ending.ERROR : Ending.OK;
            for (Send again : all(b.end(s, 0, e, e == Ending.OK ? Note.FILLED : Note.SOURCE_FAILED), Send.class)) {
                b.end(again, 1, Ending.OK, Note.FILLED);
            }
        }
        assertEquals(1, trials(b, Ending.OK));
    }

    @Test
    void ifAllLookIllAnAttemptIsStillMade() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 200; i++) {
            for (Send s : all(b.ask("o" + i), Send.class)) {
                b.end(s, 0, Ending.ERROR, Note.NONE);
            }
        }
        b.now += 200 * MS;
        assertEquals(1, all(b.ask("z"), Send.class).size());
    }

    @Test
    void aDeadZoneHoldsOneAttemptACacheUntilItAnswers() {
        Bench b = new Bench().start(Bench.all());
        long caches = List.of(Bench.all()).stream()
                .filter(m -> m.role() == Router.Role.CACHE)
                .count();
        for (int i = 0; i < 200; i++) {
            int attempt = 0;
            for (List<Send> next = all(b.ask("dead" + i), Send.class); !next.isEmpty(); ) {
                next = all(b.end(next.get(0), attempt++, Ending.CONNECT_FAILED, Note.NONE), Send.class);
            }
        }
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            List<Action> to = b.ask("waits" + i);
            out.addAll(all(to, Send.class));
            assertEquals(
                    1, all(to, Send.class).size() + all(to, Router.Refuse.class).size(), "sent, or refused at once");
        }
        assertEquals(caches, out.stream().map(Send::member).distinct().count());
        assertEquals(caches, out.size(), "one a cache: all routers' attempts come up at once when it returns");
        // It answers: more, step by step, before its wait is over.
        for (Send s : out) {
            b.end(s, 0, Ending.OK, Note.FILLED);
        }
        for (int i = 0; i < 12; i++) {
            for (Send s : all(b.ask("back" + i), Send.class)) {
                b.end(s, 0, Ending.OK, Note.FILLED);
            }
        }
        long more = 0;
        for (int i = 0; i < 100; i++) {
            more += all(b.ask("more" + i), Send.class).size();
        }
        assertTrue(more > 2 * caches, more + " at once");
    }

    @Test
    void whatACacheTurnsAwayTwiceIsNotSentThereAgainThoughTheOthersHaveNoRoom() {
        Bench b = new Bench();
        b.weightsTold = false;
        Member[] few = {
            cache(1),
            as(cache(2), State.READY, START - 1000 * MS),
            as(cache(3), State.READY, START - 1000 * MS),
            parent(11),
            parent(12),
            Bench.ORIGIN
        };
        b.start(few);
        for (int i = 0; i < 60; i++) {
            Send s = b.sent("fills" + i); // The cold ones have had what they have room for.
            b.end(s, 0, Ending.OK, Note.FILLED);
        }
        List<Integer> sent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int attempt = 0;
            sent.add(0);
            for (List<Send> next = all(b.ask("full" + i), Send.class); !next.isEmpty(); ) {
                boolean warm = next.get(0).member() == 1;
                sent.set(i, sent.get(i) + (warm ? 1 : 0));
                next = all(b.end(next.get(0), attempt++, warm ? Ending.FULL : Ending.OK, Note.NONE), Send.class);
            }
            b.now += 5 * MS;
        }
        assertTrue(sent.stream().allMatch(n -> n <= 2), "attempts of each: " + sent);
        assertTrue(sent.contains(2), "by another way once: " + sent);
    }

    @Test
    void overloadIsRefusedEarlyWithAdvice() {
        Bench b = new Bench().start(Bench.all());
        Router.Refuse no = null;
        for (int i = 0; i < 200 && no == null; i++) {
            List<Router.Refuse> r = all(b.ask("o" + i), Router.Refuse.class);
            no = r.isEmpty() ? null : r.get(0);
        }
        assertTrue(no != null && no.holdOff() > 0 && no.holdOff() <= 2000 * MS);
    }

    // Orders are few and nothing but the origin can serve them: they are not shed with the rest.
    @Test
    void anOrderPassesGatesThatAreShut() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 200; i++) {
            b.ask("o" + i);
        }
        assertEquals(1, all(b.ask("y"), Router.Refuse.class).size());
        Send order = send(b.feed(new Router.Request(999_999, 0, "x", 0, 3, 500, b.now + 3000 * MS, false, true)));
        assertTrue(order.source() == 11 || order.source() == 12, "filled from a parent: " + order);
    }

    @Test
    void whileFillsAreFullOnlyWhatIsHeldIsAsked() {
        Bench b = new Bench().start(Bench.all());
        Send last = null;
        for (int i = 0; i < 30; i++) {
            last = b.sent("o" + i);
        }
        assertEquals(last.member(), last.source());
        assertEquals(
                1,
                all(b.end(last, 0, Ending.MISS, Note.NONE), Router.Refuse.class).size());
    }

    @Test
    void aGateAtItsLeastWidensAgain() {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            b.now += 200 * MS;
            Send s = b.sent("late" + i);
            b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, 2500 * MS, true, Note.FILLED));
        }
        for (int i = 0; i < 200; i++) {
            Send s = b.sent("n" + i);
            Send t = b.sent("m" + i);
            b.ok(s, Note.FILLED);
            b.ok(t, Note.FILLED);
        }
        int fills = 0;
        for (int i = 0; i < 10; i++) {
            Send s = b.sent("z" + i);
            fills += s.source() != s.member() ? 1 : 0;
        }
        assertTrue(fills > 3, fills + " fills");
    }

    // Whether a request of three times the mean may be filled while four tenths of the gate are in use.
    private static boolean fillsThreefold(long latencyMs) {
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 60; i++) {
            b.now += 300 * MS;
            Send s = b.sent("o" + i);
            b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, latencyMs * MS, true, Note.FILLED));
        }
        for (int i = 0; i < 5; i++) {
            b.sent("p" + i);
        }
        Send large = send(b.feed(new Router.Request(900, 0, "large", 0, 3, 1500, b.now + 3000 * MS, false, false)));
        return large.member() != large.source();
    }

    @Test
    void underPressureLargeRequestsAreShedFirst() {
        assertFalse(fillsThreefold(300));
        Bench b = new Bench().start(Bench.all());
        for (int i = 0; i < 12; i++) {
            b.sent("o" + i);
        }
        Send giant = send(b.feed(new Router.Request(900, 0, "giant", 0, 3, 50_000, b.now + 30_000 * MS, false, false)));
        assertEquals(giant.member(), giant.source());
        Send usual = b.sent("usual");
        assertNotEquals(usual.member(), usual.source());
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
            used.add(send(b.feed(b.request("film", 0))).member());
        }
        assertTrue(used.size() > 1);
    }

    @Test
    void withoutCachesAParentServesWhereThatIsAllowed() {
        Bench b = new Bench();
        b.mayPassBy = true;
        b.start(parent(11), parent(12), Bench.ORIGIN);
        Send s = b.sent("x");
        assertTrue(s.member() == 11 || s.member() == 12);
        assertEquals(21, s.source());
    }

    @Test
    void furtherAttemptsHaveABudget() {
        Bench b = new Bench().start(Bench.all());
        int attempts = 0;
        for (int i = 0; i < 100; i++) {
            List<Action> a = b.ask("o" + i);
            for (int n = 0; !all(a, Send.class).isEmpty(); n++) {
                attempts++;
                a = b.end(send(a), n, Ending.ERROR, Note.NONE);
            }
        }
        assertTrue(attempts <= 100 + 20 + 100 * 0.2 + 1, attempts + " attempts");
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        Bench b = new Bench().start(Bench.all());
        Send s = b.sent("x");
        b.ok(s, Note.HIT);
        assertEquals(List.of(), b.ok(s, Note.HIT));
        assertEquals(
                List.of(),
                b.feed(
                        new Router.Outcome(99, 0, 1, Ending.OK, 1, true, Note.HIT),
                        new Router.ClientGone(99),
                        new Router.StreamBegun(99, 0)));
        assertEquals(List.of(), b.feed());
    }

    @Test
    void aListThatMustBeAskedForIsAskedForAgainAfterAFailure() {
        Bench b = new Bench();
        b.pushed = false;
        b.start(Bench.all());
        Router.Timer t = all(b.feed(new Router.Listed(Router.ListKind.FAILED, List.of())), Router.Timer.class)
                .get(0);
        assertEquals(
                1,
                all(b.feed(new Router.TimerDue(t.name())), Router.Watch.class).size());
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Bench b = new Bench().start(Bench.all());
            List<Action> out = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                b.now += 3 * MS;
                List<Action> a = b.ask("o" + i % 50);
                out.addAll(a);
                for (Send s : all(a, Send.class)) {
                    Ending e = i % 7 == 0 ? Ending.ERROR : i % 5 == 0 ? Ending.MISS : Ending.OK;
                    out.addAll(b.end(s, 0, e, Note.FILLED));
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
            Send s = b.sent("hot");
            used.add(s.member());
            b.ok(s, i == 0 ? Note.FILLED : Note.HIT);
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
            for (Send s : all(b.ask("o" + i), Send.class)) {
                fills += s.source() != s.member() ? 1 : 0;
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
            b.ok(b.sent("x"), i == 0 ? Note.FILLED : Note.HIT);
        }
        b.now += 60_000 * MS;
        b.ok(b.sent("x"), Note.FILLED);
        for (int i = 0; i < 12; i++) {
            Send lost = b.sent("x");
            b.now += 400 * MS;
            Send other = b.sent("x");
            b.end(other, 0, Ending.OK, Note.HIT);
            Send repeat = send(b.sweep(100 * MS));
            assertEquals(lost.id(), repeat.id());
            assertNotEquals(lost.member(), repeat.member());
            b.feed(new Router.Outcome(repeat.id(), 1, repeat.member(), Ending.OK, 20 * MS, true, Note.HIT));
            b.now += 10_000 * MS;
            Send home = b.sent("x");
            assertEquals(lost.member(), home.member());
            b.ok(home, Note.HIT);
        }
    }

    @Test
    void aLaggingParentLosesItsFillsAndClosesNoGate() {
        Bench b = new Bench().start(Bench.all());
        int atSlow = 0;
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            b.now += 50 * MS;
            List<Action> a = b.ask("o" + i);
            refused += all(a, Router.Refuse.class).size();
            for (Send s : all(a, Send.class)) {
                boolean slow = s.source() == 11;
                atSlow += slow && i >= 200 ? 1 : 0;
                b.feed(new Router.Outcome(
                        s.id(), 0, s.member(), Ending.OK, slow ? 2000 * MS : 120 * MS, true, Note.FILLED));
            }
        }
        assertTrue(atSlow < 20, atSlow + " of 200 fills");
        assertEquals(0, refused);
        atSlow = 0;
        for (int i = 0; i < 400; i++) {
            b.now += 50 * MS;
            Send s = b.sent("p" + i);
            atSlow += s.source() == 11 && i >= 300 ? 1 : 0;
            b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, 120 * MS, true, Note.FILLED));
        }
        assertTrue(atSlow > 20, atSlow + " of 100 fills once it is well");
    }

    // A parent that lost its way to the origin: three of five fills from it end with an error, all else is well.
    private static int[] fillsWhileOneParentErrs(Router.Effect effect) {
        Bench b = new Bench();
        b.notes = Router.Notes.HITS;
        b.effect = effect;
        b.parallel = false;
        b.start(Bench.all());
        int[] from = new int[2];
        for (int i = 0; i < 600; i++) {
            b.now += 50 * MS;
            Send s = b.sent("e" + i);
            for (int n = 0; s != null; n++) {
                from[i >= 100 && s.source() == 11 ? 1 : 0]++;
                boolean fails = s.source() == 11 && i % 5 < 3;
                List<Router.Action> then =
                        b.end(s, n, fails ? Ending.ERROR : Ending.OK, fails ? Note.NONE : Note.FILLED);
                s = then.isEmpty() || !(then.get(0) instanceof Send) ? null : (Send) then.get(0);
            }
        }
        return from;
    }

    @Test
    void aParentThatErrsWhereOthersServeLosesItsFills() {
        int[] from = fillsWhileOneParentErrs(Router.Effect.PURE);
        assertTrue(from[1] < 100, from[1] + " fills at the parent that errs, " + from[0] + " elsewhere");
        int[] orders = fillsWhileOneParentErrs(Router.Effect.SIDE_EFFECT);
        assertTrue(orders[1] < 10, orders[1] + " orders by way of the parent that errs, " + orders[0] + " elsewhere");
    }

    @Test
    void errorsByWayOfAllParentsEjectNone() {
        Bench b = new Bench();
        b.notes = Router.Notes.HITS;
        b.effect = Router.Effect.SIDE_EFFECT;
        b.start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            b.now += 50 * MS;
            Send s = b.sent("f" + i);
            used.add(s.source());
            b.end(s, 0, i % 5 < 3 ? Ending.ERROR : Ending.OK, i % 5 < 3 ? Note.NONE : Note.FILLED);
        }
        assertEquals(Set.of(11L, 12L), used);
    }

    @Test
    void aSlowZoneEjectsNone() {
        Bench b = new Bench().start(Bench.all());
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            b.now += 300 * MS;
            for (Send s : all(b.ask("o" + i), Send.class)) {
                used.add(s.member());
                b.feed(new Router.Outcome(s.id(), 0, s.member(), Ending.OK, 2000 * MS, true, Note.HIT));
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
            for (Send s : all(b.ask("x" + i % 20), Send.class)) {
                b.end(s, 0, servedBefore ? Ending.OK : Ending.MISS, servedBefore ? Note.HIT : Note.NONE);
            }
        }
        for (int i = 0; i < outageMs / 20; i++) {
            b.sweep(20 * MS);
        }
        List<Member> cold = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            cold.add(as(cache(id), State.READY, b.now));
        }
        b.feed(new Router.Listed(Router.ListKind.CHANGES, cold));
        b.now += 2000 * MS;
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += all(b.sweep(10 * MS), Send.class).size()
                    + all(b.ask("y" + i), Send.class).size();
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
                Member cold = as(parent(11), State.READY, START);
                Member gone = as(cache(77), State.GONE, 0);
                b.feed(
                        new Router.Listed(Router.ListKind.CHANGES, List.of(cold, cold, gone, gone)),
                        new Router.PeerMessage(routers, new byte[11]));
                for (int i = 0; i < 20; i++) {
                    b.ok(b.sent("x" + i), Note.FILLED);
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
            Send s = b.sent("lost" + i);
            for (int k = 0; k < 12; k++) {
                b.ok(b.sent("well" + i + "-" + k), Note.HIT); // The caches are well.
            }
            b.sweep(600 * Bench.MS); // Overdue, and too late to be made again inside its aim.
            b.now += 2_400 * Bench.MS;
            b.end(s, 0, Ending.TIMEOUT, Note.NONE);
        }
        Send s = b.sent("again");
        for (int k = 0; k < 12; k++) {
            b.ok(b.sent("well-" + k), Note.HIT);
        }
        assertEquals(1, Bench.all(b.sweep(60 * Bench.MS), Router.Cancel.class).size(), "lost, not slow");
        Send next = Bench.send(b.end(s, 0, Ending.CANCELLED, Note.NONE));
        assertTrue(next.member() != s.member());
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
            Send s = b.sent("silent" + i);
            b.sweep(600 * Bench.MS);
            b.now += 2_400 * Bench.MS;
            b.end(s, 0, Ending.TIMEOUT, Note.NONE); // Nobody answered anything meanwhile.
        }
        b.now += 10_000 * Bench.MS;
        for (int i = 0; i < 40; i++) {
            b.ok(b.sent("back" + i), Note.HIT);
        }
        assertTrue(cancelled(b, "slow").isEmpty(), "a slow answer is waited for, as before the outage");
    }

    private static List<Router.Cancel> cancelled(Bench b, String object) {
        Send s = b.sent(object);
        for (int k = 0; k < 12; k++) {
            b.ok(b.sent(object + k), Note.HIT);
        }
        List<Router.Cancel> found = Bench.all(b.sweep(60 * Bench.MS), Router.Cancel.class);
        b.end(s, 0, Ending.OK, Note.HIT);
        return found;
    }

    @Test
    void theModuleStaysShortAndNamesItsInterface() throws Exception {
        List<String> lines =
                Files.readAllLines(Path.of("src/main/java/pewtercourse/decision/Logic.java"), StandardCharsets.UTF_8);
        int filled = 0;
        for (String l : lines) {
            assertTrue(l.length() <= 110, l);
            filled += l.isBlank() ? 0 : 1;
        }
        assertTrue(filled <= 940, filled + " lines");
        assertTrue(String.join("\n", lines.subList(0, 30)).contains("Router.java"));
    }
}
