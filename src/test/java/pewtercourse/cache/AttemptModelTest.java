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

/**
 * Runs attempts and their pool through random steps: connections are established, refused, broken or silent,
 * and timers fire.
 */
class AttemptModelTest {
    private static final InetSocketAddress ANY_ADDRESS = new InetSocketAddress("127.0.0.1", 9);
    private static final Set<AttemptResult> NOTHING_WRITTEN = EnumSet.of(
            AttemptResult.REFUSED,
            AttemptResult.CONNECT_TIMEOUT,
            AttemptResult.NO_DESCRIPTOR,
            AttemptResult.OVERTAKEN,
            AttemptResult.CANCELLED_UNSENT);
    private static final int MAX_CONNECTIONS = 4;
    private static final long MAX_IDLE_MICROS = 40_000;

    private static final class FakeConnection implements CacheConnection {
        final long cache;
        Promise<CacheResponse> response;
        boolean open = true;
        Runnable onClose = () -> {};

        FakeConnection(long cache) {
            this.cache = cache;
        }

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
            if (!check.mayWrite() || check.timeoutMs().isEmpty()) {
                return Future.failedFuture("not written");
            }
            assertTrue(open, "written to a closed connection");
            assertTrue(response == null || response.future().isComplete(), "two requests at once");
            response = Promise.promise();
            return response.future();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable listener) {
            onClose = listener;
        }

        @Override
        public void close() {
            if (open) {
                open = false;
                onClose.run();
                if (response != null) {
                    response.tryFail("closed");
                }
            }
        }
    }

    private static final class TrackedAttempt {
        long cache;
        Attempt attempt;
        Promise<CacheConnection> connecting;
        boolean preconditionHolds = true;
        AttemptResult result;
    }

    private static final class Model {
        final List<FakeConnection> connections = new ArrayList<>();
        final List<TrackedAttempt> attempts = new ArrayList<>();
        final Map<Long, Runnable> timers = new TreeMap<>();
        long now;
        long nextTimer;
        TrackedAttempt starting;
        final Map<Long, Runnable> settling = new TreeMap<>();
        final ConnectionPool pool = new ConnectionPool(
                (address, timeoutMs) -> {
                    starting.connecting = Promise.promise();
                    return starting.connecting.future();
                },
                timersIn(settling),
                () -> now,
                MAX_IDLE_MICROS,
                MAX_CONNECTIONS);

        Model() {
            pool.addCache(0);
            pool.addCache(1);
        }

        Timers timersIn(Map<Long, Runnable> pending) {
            return new Timers() {
                @Override
                public long set(long delayMs, Runnable task) {
                    pending.put(++nextTimer, task);
                    return nextTimer;
                }

                @Override
                public void cancel(long timer) {
                    pending.remove(timer);
                }
            };
        }

        /** Ends the wait of all connections after their last response. */
        void settleAll() {
            while (!settling.isEmpty()) {
                settling.remove(settling.keySet().iterator().next()).run();
            }
        }

        void start(long cache) {
            TrackedAttempt tracked = new TrackedAttempt();
            tracked.cache = cache;
            starting = tracked;
            tracked.attempt = new Attempt(
                    pool,
                    timersIn(timers),
                    () -> now,
                    cache,
                    ANY_ADDRESS,
                    new CacheRequest("id", "c", "o", 0, null, Buffer.buffer(), null, 0, 0, false, false, false, null),
                    400_000,
                    now + 1_000_000,
                    () -> tracked.preconditionHolds,
                    response -> {
                        assertEquals(null, tracked.result, "finished twice");
                        tracked.result = response.result();
                    });
            attempts.add(tracked);
            tracked.attempt.start();
        }

        FakeConnection busyConnectionOf(TrackedAttempt tracked) {
            return connections.stream()
                    .filter(connection -> connection.response != null
                            && !connection.response.future().isComplete()
                            && connection.open
                            && connection.cache == tracked.cache)
                    .findFirst()
                    .orElse(null);
        }

        void completeConnect(int i, boolean succeeds) {
            TrackedAttempt tracked = pickAttempt(i);
            if (tracked == null
                    || tracked.connecting == null
                    || tracked.connecting.future().isComplete()) {
                return;
            }
            boolean finishedBefore = tracked.result != null;
            if (succeeds) {
                FakeConnection connection = new FakeConnection(tracked.cache);
                connections.add(connection);
                tracked.connecting.complete(connection);
                assertTrue(finishedBefore || tracked.result == null || tracked.result == AttemptResult.OVERTAKEN);
            } else {
                tracked.connecting.fail("refused");
                assertTrue(finishedBefore || tracked.result == AttemptResult.REFUSED);
            }
        }

        void respond(int i, AttemptResult result) {
            FakeConnection connection = pickBusyConnection(i);
            if (connection != null) {
                connection.response.complete(CacheResponse.of(result));
                assertTrue(
                        connection.open == (result != AttemptResult.MALFORMED),
                        "kept only after a well-formed response");
            }
        }

        /**
         * Breaks a connection after the write: its request may have run, on a new connection as on a reused
         * one.
         */
        void breakBusyConnection(int i) {
            FakeConnection connection = pickBusyConnection(i);
            if (connection != null) {
                long resets = attempts.stream()
                        .filter(tracked -> tracked.result == AttemptResult.RESET)
                        .count();
                connection.close();
                assertEquals(
                        resets + 1,
                        attempts.stream()
                                .filter(tracked -> tracked.result == AttemptResult.RESET)
                                .count());
            }
        }

        void breakIdleConnection(int i) {
            if (!connections.isEmpty()) {
                FakeConnection connection = connections.get(i % connections.size());
                if (connection.response != null && connection.response.future().isComplete()) {
                    connection.close();
                }
            }
        }

        void fireTimer(int i) {
            if (!timers.isEmpty()) {
                Long id = new ArrayList<>(timers.keySet()).get(i % timers.size());
                timers.remove(id).run();
            }
        }

        void cancel(int i) {
            TrackedAttempt tracked = pickAttempt(i);
            if (tracked != null) {
                AttemptResult before = tracked.result;
                tracked.attempt.cancel();
                assertTrue(
                        before != null
                                ? tracked.result == before
                                : tracked.result == AttemptResult.CANCELLED
                                        || tracked.result == AttemptResult.CANCELLED_UNSENT);
            }
        }

        void breakPrecondition(int i) {
            TrackedAttempt tracked = pickAttempt(i);
            if (tracked != null) {
                tracked.preconditionHolds = false;
            }
        }

        /** Replaces a cache by a new process: none of the old connections may serve it. */
        void replaceCache(long cache) {
            pool.closeIdleConnections(cache, true);
            settleAll();
            assertTrue(
                    connections.stream()
                            .noneMatch(connection -> connection.cache == cache
                                    && connection.open
                                    && (connection.response == null
                                            || connection.response.future().isComplete())),
                    "idle connections to a removed cache");
            pool.addCache(cache);
        }

        private TrackedAttempt pickAttempt(int i) {
            return attempts.isEmpty() ? null : attempts.get(i % attempts.size());
        }

        private FakeConnection pickBusyConnection(int i) {
            List<FakeConnection> busy = connections.stream()
                    .filter(connection -> connection.open
                            && connection.response != null
                            && !connection.response.future().isComplete())
                    .toList();
            return busy.isEmpty() ? null : busy.get(i % busy.size());
        }

        void checkInvariants() {
            long busy = connections.stream()
                    .filter(connection -> connection.open
                            && connection.response != null
                            && !connection.response.future().isComplete())
                    .count();
            long running =
                    attempts.stream().filter(tracked -> tracked.result == null).count();
            long connecting = attempts.stream()
                    .filter(tracked -> tracked.result == null
                            && tracked.connecting != null
                            && !tracked.connecting.future().isComplete())
                    .count();
            assertEquals(running - connecting, busy, "a connection is busy only for a running attempt");
            assertEquals(running, timers.size(), "one timer for each running attempt and no other");
            assertTrue(
                    connections.stream().filter(FakeConnection::isOpen).count() <= MAX_CONNECTIONS,
                    "too many connections");
        }
    }

    @Property(tries = 500, seed = "7")
    void finishesEachAttemptOnceAndLeavesNoTimer(@ForAll("chains") ActionChain<Model> chain) {
        Model model = chain.withInvariant(Model::checkInvariants).run();
        while (!model.timers.isEmpty()) {
            model.fireTimer(0);
        }
        assertTrue(model.attempts.stream().allMatch(tracked -> tracked.result != null), "an attempt without a result");
    }

    @Provide
    Arbitrary<ActionChain<Model>> chains() {
        Arbitrary<Integer> index = Arbitraries.integers().between(0, 20);
        Arbitrary<AttemptResult> results = Arbitraries.of(
                AttemptResult.SERVED,
                AttemptResult.MISS,
                AttemptResult.FULL,
                AttemptResult.ERROR,
                AttemptResult.MALFORMED);
        return ActionChain.startWith(Model::new)
                .withAction(6, step(index.map(i -> Transformer.mutate("start", m -> m.start(i % 2)))))
                .withAction(
                        6,
                        step(index.map(i ->
                                Transformer.mutate("complete connect " + i, m -> m.completeConnect(i, i % 4 > 0)))))
                .withAction(
                        5,
                        step(index.flatMap(i -> results.map(
                                result -> Transformer.mutate("respond " + result, m -> m.respond(i, result))))))
                .withAction(
                        2,
                        step(index.map(
                                i -> Transformer.mutate("break busy connection " + i, m -> m.breakBusyConnection(i)))))
                .withAction(
                        2,
                        step(index.map(
                                i -> Transformer.mutate("break idle connection " + i, m -> m.breakIdleConnection(i)))))
                .withAction(2, step(index.map(i -> Transformer.mutate("fire timer " + i, m -> m.fireTimer(i)))))
                .withAction(2, step(index.map(i -> Transformer.mutate("cancel " + i, m -> m.cancel(i)))))
                .withAction(
                        1,
                        step(index.map(
                                i -> Transformer.mutate("break precondition " + i, m -> m.breakPrecondition(i)))))
                .withAction(
                        1, step(index.map(i -> Transformer.mutate("replace cache " + i, m -> m.replaceCache(i % 2)))))
                .withAction(3, step(index.map(i -> Transformer.mutate("settle all", Model::settleAll))))
                .withAction(1, step(index.map(i -> Transformer.mutate("later", m -> m.now += 6_000))))
                .withMaxTransformations(60);
    }

    private static Action.Independent<Model> step(Arbitrary<Transformer<Model>> transformers) {
        return () -> transformers;
    }

    @Example
    void doesNotReuseAConnectionThatWasIdleTooLong() {
        Model model = new Model();
        model.start(0);
        model.completeConnect(0, true);
        model.respond(0, AttemptResult.SERVED);
        model.settleAll();
        model.now += MAX_IDLE_MICROS;
        model.start(0);
        assertFalse(model.connections.get(0).open);
        assertTrue(model.attempts.get(1).connecting != null);
    }

    // The control feed may list a new process of the same name, at another address, while a connection to the
    // old one is being established.
    @Example
    void neitherUsesNorKeepsAConnectionToAnEarlierProcess() {
        Model model = new Model();
        model.start(0);
        model.replaceCache(0);
        model.completeConnect(0, true);
        assertEquals(AttemptResult.OVERTAKEN, model.attempts.get(0).result);
        assertFalse(model.connections.get(0).open);
        model.start(0);
        model.attempts.get(1).attempt.cancel();
        model.replaceCache(0);
        model.completeConnect(1, true);
        assertFalse(model.connections.get(1).open, "established late, for an attempt that had finished");
    }

    @Example
    void reportsRefusedWhenANewConnectionClosesBeforeTheRequestIsWritten() {
        Model model = new Model();
        model.start(0);
        FakeConnection connection = new FakeConnection(0);
        connection.close();
        model.connections.add(connection);
        model.attempts.get(0).connecting.complete(connection);
        assertEquals(AttemptResult.REFUSED, model.attempts.get(0).result);
    }

    @Example
    void reusesAConnectionOnlyAfterItsSettleTime() {
        Model model = new Model();
        model.start(0);
        model.completeConnect(0, true);
        model.respond(0, AttemptResult.SERVED);
        model.start(0);
        assertTrue(model.attempts.get(1).connecting != null, "reused at once");
        model.attempts.get(1).attempt.cancel();
        model.settleAll();
        model.start(0);
        assertTrue(model.attempts.get(2).connecting == null, "not reused");
        assertEquals(null, model.attempts.get(2).result);
    }

    @Example
    void neverServesAnIncompleteResponse() {
        Buffer body = Buffer.buffer("1234");
        assertEquals(
                AttemptResult.SERVED,
                CacheResponse.decode(200, false, "4", body, "t", "mem").result());
        assertEquals(
                AttemptResult.MALFORMED,
                CacheResponse.decode(200, false, "5", body, "t", "mem").result());
        assertEquals(
                AttemptResult.ERROR,
                CacheResponse.decode(503, false, "0", body, null, null).result());
        assertEquals(
                AttemptResult.FULL,
                CacheResponse.decode(503, true, "0", body, null, null).result());
        assertTrue(NOTHING_WRITTEN.contains(AttemptResult.REFUSED));
    }
}
