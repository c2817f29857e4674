package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import pewtercourse.Timers;

/** Attempts and the pool under random steps: connections come up, fail, die, fall silent; timers run out. */
class AttemptModelTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 9);
    private static final Set<AttemptResult> UNSENT =
            EnumSet.of(AttemptResult.REFUSED, AttemptResult.CONNECT_TIMEOUT, AttemptResult.NO_DESCRIPTOR, AttemptResult.OVERTAKEN, AttemptResult.CANCELLED_UNSENT);
    private static final int CONNECTIONS_MOST = 4;
    private static final long IDLE_MOST = 40_000;

    private static final class Line implements CacheConnection {
        final long cache;
        Promise<CacheResponse> answer;
        boolean open = true;
        Runnable onClose = () -> {};

        Line(long cache) {
            this.cache = cache;
        }

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, long timeoutMs) {
            assertTrue(open, "written to a closed connection");
            assertTrue(answer == null || answer.future().isComplete(), "two requests at once");
            answer = Promise.promise();
            return answer.future();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable then) {
            onClose = then;
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                onClose.run();
                if (answer != null) {
                    answer.tryFail("closed");
                }
            }
        }
    }

    private static final class Try {
        long cache;
        Attempt attempt;
        Promise<CacheConnection> connecting;
        boolean right = true;
        AttemptResult end;
    }

    private static final class Model {
        final List<Line> lines = new ArrayList<>();
        final List<Try> tries = new ArrayList<>();
        final Map<Long, Runnable> timers = new TreeMap<>();
        long now, nextTimer;
        Try starting;
        final Map<Long, Runnable> settling = new TreeMap<>();
        final ConnectionPool pool = new ConnectionPool(
                (to, timeoutMs) -> {
                    starting.connecting = Promise.promise();
                    return starting.connecting.future();
                },
                timers(settling),
                () -> now,
                IDLE_MOST,
                CONNECTIONS_MOST);

        Model() {
            pool.admit(0);
            pool.admit(1);
        }

        Timers timers(Map<Long, Runnable> of) {
            return new Timers() {
                @Override
                public long set(long delayMs, Runnable then) {
                    of.put(++nextTimer, then);
                    return nextTimer;
                }

                @Override
                public void cancel(long timer) {
                    of.remove(timer);
                }
            };
        }

        /** Connections that rest after their answers have done so. */
        void settle() {
            while (!settling.isEmpty()) {
                settling.remove(settling.keySet().iterator().next()).run();
            }
        }

        void start(long cache) {
            Try t = new Try();
            t.cache = cache;
            starting = t;
            t.attempt = new Attempt(
                    pool,
                    timers(timers),
                    () -> now,
                    cache,
                    ANY,
                    new CacheRequest("id", "c", "o", 0, Buffer.buffer(), null, 0, 0, false, false, false, null),
                    400_000,
                    now + 1_000_000,
                    () -> t.right,
                    a -> {
                        assertEquals(null, t.end, "ended twice");
                        t.end = a.end();
                    });
            tries.add(t);
            t.attempt.start();
        }

        Line lineOf(Try t) {
            return lines.stream()
                    .filter(l -> l.answer != null && !l.answer.future().isComplete() && l.open && l.cache == t.cache)
                    .findFirst()
                    .orElse(null);
        }

        void connected(int i, boolean up) {
            Try t = pick(i);
            if (t == null || t.connecting == null || t.connecting.future().isComplete()) {
                return;
            }
            boolean before = t.end != null;
            if (up) {
                Line l = new Line(t.cache);
                lines.add(l);
                t.connecting.complete(l);
                assertTrue(before || t.end == null || t.end == AttemptResult.OVERTAKEN);
            } else {
                t.connecting.fail("refused");
                assertTrue(before || t.end == AttemptResult.REFUSED);
            }
        }

        void answered(int i, AttemptResult end) {
            Line l = pickLine(i);
            if (l != null) {
                l.answer.complete(CacheResponse.of(end));
                assertTrue(l.open == (end != AttemptResult.MALFORMED), "kept only after a whole answer");
            }
        }

        /** A connection that dies after the write may have run its request, reused or not. */
        void dies(int i) {
            Line l = pickLine(i);
            if (l != null) {
                long resets = tries.stream().filter(t -> t.end == AttemptResult.RESET).count();
                l.close();
                assertEquals(
                        resets + 1,
                        tries.stream().filter(t -> t.end == AttemptResult.RESET).count());
            }
        }

        void idleDies(int i) {
            if (!lines.isEmpty()) {
                Line l = lines.get(i % lines.size());
                if (l.answer != null && l.answer.future().isComplete()) {
                    l.close();
                }
            }
        }

        void timer(int i) {
            if (!timers.isEmpty()) {
                Long id = new ArrayList<>(timers.keySet()).get(i % timers.size());
                timers.remove(id).run();
            }
        }

        void cancel(int i) {
            Try t = pick(i);
            if (t != null) {
                AttemptResult before = t.end;
                t.attempt.cancel();
                assertTrue(before != null ? t.end == before : t.end == AttemptResult.CANCELLED || t.end == AttemptResult.CANCELLED_UNSENT);
            }
        }

        void overtaken(int i) {
            Try t = pick(i);
            if (t != null) {
                t.right = false;
            }
        }

        /** A new cache takes over the address: none of the old connections may serve it. */
        void replaced(long cache) {
            pool.drop(cache, true);
            settle();
            assertTrue(
                    lines.stream()
                            .noneMatch(l -> l.cache == cache
                                    && l.open
                                    && (l.answer == null || l.answer.future().isComplete())),
                    "idle connections to a gone cache");
            pool.admit(cache);
        }

        private Try pick(int i) {
            return tries.isEmpty() ? null : tries.get(i % tries.size());
        }

        private Line pickLine(int i) {
            List<Line> busy = lines.stream()
                    .filter(l ->
                            l.open && l.answer != null && !l.answer.future().isComplete())
                    .toList();
            return busy.isEmpty() ? null : busy.get(i % busy.size());
        }

        void check() {
            long busy = lines.stream()
                    .filter(l ->
                            l.open && l.answer != null && !l.answer.future().isComplete())
                    .count();
            long running = tries.stream().filter(t -> t.end == null).count();
            long connecting = tries.stream()
                    .filter(t -> t.end == null
                            && t.connecting != null
                            && !t.connecting.future().isComplete())
                    .count();
            assertEquals(running - connecting, busy, "a connection is busy only for an attempt that is out");
            assertEquals(running, timers.size(), "one timer for each attempt that is out, none besides");
            assertTrue(lines.stream().filter(Line::isOpen).count() <= CONNECTIONS_MOST, "too many connections");
        }
    }

    @Property(tries = 500, seed = "7")
    void anAttemptEndsOnceAndLeavesNothingBehind(@ForAll("chains") ActionChain<Model> chain) {
        Model m = chain.withInvariant(Model::check).run();
        while (!m.timers.isEmpty()) {
            m.timer(0);
        }
        assertTrue(m.tries.stream().allMatch(t -> t.end != null), "an attempt without an end");
    }

    @Provide
    Arbitrary<ActionChain<Model>> chains() {
        Arbitrary<Integer> n = Arbitraries.integers().between(0, 20);
        Arbitrary<AttemptResult> heard = Arbitraries.of(AttemptResult.SERVED, AttemptResult.MISS, AttemptResult.FULL, AttemptResult.ERROR, AttemptResult.MALFORMED);
        return ActionChain.startWith(Model::new)
                .withAction(6, step(n.map(i -> Transformer.mutate("start", m -> m.start(i % 2)))))
                .withAction(6, step(n.map(i -> Transformer.mutate("connected " + i, m -> m.connected(i, i % 4 > 0)))))
                .withAction(
                        5,
                        step(n.flatMap(i ->
                                heard.map(e -> Transformer.mutate("answered " + e, m -> m.answered(i, e))))))
                .withAction(2, step(n.map(i -> Transformer.mutate("dies " + i, m -> m.dies(i)))))
                .withAction(2, step(n.map(i -> Transformer.mutate("idle dies " + i, m -> m.idleDies(i)))))
                .withAction(2, step(n.map(i -> Transformer.mutate("timer " + i, m -> m.timer(i)))))
                .withAction(2, step(n.map(i -> Transformer.mutate("cancel " + i, m -> m.cancel(i)))))
                .withAction(1, step(n.map(i -> Transformer.mutate("overtaken " + i, m -> m.overtaken(i)))))
                .withAction(1, step(n.map(i -> Transformer.mutate("replaced " + i, m -> m.replaced(i % 2)))))
                .withAction(3, step(n.map(i -> Transformer.mutate("settle", Model::settle))))
                .withAction(1, step(n.map(i -> Transformer.mutate("later", m -> m.now += 6_000))))
                .withMaxTransformations(60);
    }

    private static Action.Independent<Model> step(Arbitrary<Transformer<Model>> of) {
        return () -> of;
    }

    @Example
    void aConnectionThatStayedIdleTooLongIsNotUsedAgain() {
        Model m = new Model();
        m.start(0);
        m.connected(0, true);
        m.answered(0, AttemptResult.SERVED);
        m.settle();
        m.now += IDLE_MOST;
        m.start(0);
        assertFalse(m.lines.get(0).open);
        assertTrue(m.tries.get(1).connecting != null);
    }

    // The list may tell of a new process of the same name, at another address, while a connection to the old one comes
    // up.
    @Example
    void aConnectionThatWasDialledToAnEarlierProcessIsNeitherUsedNorKept() {
        Model m = new Model();
        m.start(0);
        m.replaced(0);
        m.connected(0, true);
        assertEquals(AttemptResult.OVERTAKEN, m.tries.get(0).end);
        assertFalse(m.lines.get(0).open);
        m.start(0);
        m.tries.get(1).attempt.cancel();
        m.replaced(0);
        m.connected(1, true);
        assertFalse(m.lines.get(1).open, "came up late, for an attempt that had ended");
    }

    @Example
    void aNewConnectionThatIsClosedBeforeTheRequestIsWrittenProvesThatNothingRan() {
        Model m = new Model();
        m.start(0);
        Line line = new Line(0);
        line.close();
        m.lines.add(line);
        m.tries.get(0).connecting.complete(line);
        assertEquals(AttemptResult.REFUSED, m.tries.get(0).end);
    }

    @Example
    void aConnectionRestsAfterAnAnswerLestWhatComesBehindItIsTakenForTheNext() {
        Model m = new Model();
        m.start(0);
        m.connected(0, true);
        m.answered(0, AttemptResult.SERVED);
        m.start(0);
        assertTrue(m.tries.get(1).connecting != null, "used again at once");
        m.tries.get(1).attempt.cancel();
        m.settle();
        m.start(0);
        assertTrue(m.tries.get(2).connecting == null, "not used again");
        assertEquals(null, m.tries.get(2).end);
    }

    @Example
    void anAnswerThatIsNotWholeIsNeverServed() {
        Buffer b = Buffer.buffer("1234");
        assertEquals(
                AttemptResult.SERVED, CacheResponse.decode(200, false, "4", b, "t", "mem").end());
        assertEquals(
                AttemptResult.MALFORMED,
                CacheResponse.decode(200, false, "5", b, "t", "mem").end());
        assertEquals(
                AttemptResult.ERROR, CacheResponse.decode(503, false, "0", b, null, null).end());
        assertEquals(AttemptResult.FULL, CacheResponse.decode(503, true, "0", b, null, null).end());
        assertTrue(UNSENT.contains(AttemptResult.REFUSED));
    }
}
