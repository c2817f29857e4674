package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
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
import pewtercourse.front.Answer;
import pewtercourse.front.Drain;

/** A front connection under random steps, against a model of what each of its ids is owed. */
class FastCgiModelTest {
    private static final int IDS = 5;
    private static final int PENDING_MOST = 1 << 20; // Past this a client that doesn't read gets no more work done.

    /** What the front has done under one id, and what it may expect. */
    private enum Owed {
        NOTHING,
        BODY,
        ANSWER
    }

    private static final class Model {
        final Random random = new Random(5);
        final Map<Integer, Owed> owed = new HashMap<>();
        final Map<Integer, Consumer<Answer>> handed = new HashMap<>();
        final Map<Integer, Buffer> expected = new HashMap<>();
        final Map<Integer, Deque<Buffer>> due = new HashMap<>(); // Bodies of answers not yet read, by id.
        final Map<String, Integer> ids = new HashMap<>();
        final List<Consumer<Answer>> aborted = new ArrayList<>();
        final RecordReader written = new RecordReader();
        final FastCgiConnection.Backlog backlog;
        final Buffer all = Buffer.buffer();
        final Map<Integer, Buffer> answers = new HashMap<>();
        final ConnectionTable table;
        final Map<Long, Runnable> timers = new TreeMap<>();
        long now = 1000, nextTimer;
        int gone, abortedOpen, serial, writes;
        boolean full, closed, paused, draining, broken, refusing;
        Handler<Buffer> input;
        Handler<Void> drain, close;

        Model() {
            this(new ConnectionTable(4, 1 << 20));
        }

        Model(ConnectionTable table) {
            this(table, 24 << 20);
        }

        @SuppressWarnings("unchecked")
        Model(ConnectionTable table, long backlogMost) {
            this.table = table;
            this.backlog = new FastCgiConnection.Backlog(backlogMost);
            NetSocket socket = (NetSocket) Proxy.newProxyInstance(
                    NetSocket.class.getClassLoader(),
                    new Class<?>[] {NetSocket.class},
                    (p, m, a) -> switch (m.getName()) {
                        case "handler" -> set(() -> input = (Handler<Buffer>) a[0], p);
                        case "drainHandler" -> set(() -> drain = (Handler<Void>) a[0], p);
                        case "closeHandler" -> set(() -> close = (Handler<Void>) a[0], p);
                        case "pause" -> set(() -> paused = true, p);
                        case "resume" -> set(() -> paused = false, p);
                        case "writeQueueFull" -> full;
                        case "write" ->
                            set(
                                    () -> {
                                        writes++;
                                        written.add((Buffer) a[0]);
                                        all.appendBuffer((Buffer) a[0]);
                                    },
                                    null);
                        case "close", "end" ->
                            set(
                                    () -> {
                                        assertTrue(
                                                !draining
                                                        || broken
                                                        || !owed.containsValue(Owed.BODY) && handed.isEmpty(),
                                                "a drain cuts off a request: " + owed);
                                        closed = true;
                                    },
                                    null);
                        case "setWriteQueueMaxSize", "exceptionHandler" -> p;
                        default -> null;
                    });
            new FastCgiConnection(
                    socket,
                    (r, answer) -> {
                        if (refusing) {
                            answer.accept(Answer.refused(50));
                            return () -> {};
                        }
                        int id = ids.get(r.id());
                        assertEquals(Owed.ANSWER, owed.get(id), "handed on before its last byte");
                        assertTrue(expected.get(id).equals(r.body()), "another body");
                        assertNull(handed.put(id, answer), "handed on twice");
                        return () -> gone++;
                    },
                    () -> now,
                    new Timers() {
                        @Override
                        public long set(long delayMs, Runnable then) {
                            timers.put(++nextTimer, then);
                            return nextTimer;
                        }

                        @Override
                        public void cancel(long timer) {
                            timers.remove(timer);
                        }
                    },
                    table,
                    backlog,
                    () -> {});
        }

        private static Object set(Runnable r, Object then) {
            r.run();
            return then;
        }

        String text() {
            return all.toString("ISO-8859-1");
        }

        /** Records come in pieces of any length. */
        void feed(Buffer bytes) {
            for (int at = 0; at < bytes.length() && !closed; ) {
                int n = Math.min(bytes.length() - at, 1 + random.nextInt(40));
                input.handle(bytes.getBuffer(at, at + n));
                at += n;
            }
        }

        void begin(int id) {
            if (owed.getOrDefault(id, Owed.NOTHING) == Owed.NOTHING && !closed) {
                owed.put(id, Owed.BODY);
                expected.put(id, Buffer.buffer());
                feed(Record.encode(Record.BEGIN, id, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
                Map<String, String> params = new LinkedHashMap<>();
                String name = String.format("%016x", ++serial);
                ids.put(name, id);
                params.put("SCRIPT_NAME", "/ops/page");
                params.put("HTTP_X_CORRELATION_ID", name);
                params.put("HTTP_X_SUBJECT", "7f3a9c21e0b4d655");
                params.put("HTTP_X_DEADLINE_MS", "1500");
                params.put("FILLER", "x".repeat(random.nextInt(300)));
                feed(Record.encode(Record.PARAMS, id, Record.pairs(params)));
                feed(Record.encode(Record.PARAMS, id, Buffer.buffer()));
            }
        }

        void body(int id, int length) {
            if (owed.get(id) == Owed.BODY && !closed) {
                byte[] bytes = new byte[length];
                random.nextBytes(bytes);
                expected.get(id).appendBytes(bytes);
                owed.put(id, length == 0 ? Owed.ANSWER : Owed.BODY);
                boolean reading = backlog.bytes <= PENDING_MOST;
                feed(Record.encode(Record.STDIN, id, Buffer.buffer(bytes)));
                assertEquals(
                        length == 0 && reading, handed.containsKey(id), "handed on when whole, while its client reads");
            }
        }

        void answer(int id, int length) {
            Consumer<Answer> to = handed.remove(id);
            if (to != null && !closed) {
                byte[] bytes = new byte[length];
                random.nextBytes(bytes);
                owed.put(id, Owed.NOTHING);
                to.accept(Answer.served(Buffer.buffer(bytes), "t"));
                to.accept(Answer.failed()); // A second answer must go nowhere.
                due.computeIfAbsent(id, i -> new ArrayDeque<>()).add(Buffer.buffer(bytes));
            }
        }

        void abort(int id) {
            if (!closed) {
                if (handed.containsKey(id)) {
                    aborted.add(handed.remove(id));
                    abortedOpen++;
                }
                owed.put(id, Owed.NOTHING);
                feed(Record.encode(Record.ABORT, id, Buffer.buffer()));
                aborted.forEach(a -> a.accept(Answer.served(Buffer.buffer("late"), null)));
                assertEquals(abortedOpen, gone, "each aborted request is dropped, once");
            }
        }

        void noise(int kind) {
            if (!closed) {
                Buffer values = Record.pairs(Map.of("FCGI_MPXS_CONNS", "", "OTHER", ""));
                feed(
                        kind == 0
                                ? Record.encode(Record.GET_VALUES, 0, values)
                                : kind == 1
                                        ? Record.encode(77, 0, Buffer.buffer("?"))
                                        : Record.encode(Record.STDIN, 900, Buffer.buffer("no such request")));
            }
        }

        /** The client stops or goes on reading. */
        void reads(boolean on) {
            full = !on;
            if (on) {
                drain.handle(null);
                readAnswers();
            }
        }

        void readAnswers() {
            try {
                for (Record r = written.next(); r != null; r = written.next()) {
                    if (r.type() == Record.STDOUT) {
                        answers.computeIfAbsent(r.id(), i -> Buffer.buffer()).appendBuffer(r.content());
                    } else if (r.type() == Record.END && answers.containsKey(r.id())) {
                        Buffer whole = answers.remove(r.id());
                        String head = whole.getString(0, Math.min(200, whole.length()), "ISO-8859-1");
                        assertTrue(head.startsWith("Status: 200 OK\r\n"), head.substring(0, 16));
                        Buffer body = whole.getBuffer(head.indexOf("\r\n\r\n") + 4, whole.length());
                        assertTrue(body.equals(due.get(r.id()).poll()), "not the answer that was owed");
                    }
                }
            } catch (MalformedRecordException e) {
                throw new AssertionError(e);
            }
        }

        void drain(Drain.Step to) {
            draining |= to != Drain.Step.OPEN;
            table.drain(to);
        }

        void garbage() {
            if (!closed) {
                broken = true;
                int open = handed.size();
                handed.clear();
                gone -= open;
                feed(Buffer.buffer(new byte[] {9, 9, 9, 9, 9, 9, 9, 9}));
                assertTrue(closed, "a broken stream of records ends the connection");
                assertEquals(abortedOpen, gone, "and drops its requests, once");
            }
        }
    }

    @Property(tries = 300, seed = "7")
    void whateverTheOrderOfStepsEachRequestGetsItsOneAnswer(@ForAll("chains") ActionChain<Model> chain) {
        Model m = chain.run();
        if (!m.closed) {
            m.reads(true);
            for (int id = 1; id <= IDS; id++) {
                m.answer(id, 240_000);
            }
            m.readAnswers();
            assertTrue(m.due.values().stream().allMatch(Deque::isEmpty), "an answer was never written");
            assertFalse(m.owed.containsValue(Owed.ANSWER), "a request still waits");
            assertFalse(m.paused, "reads again once all is written");
            assertEquals(
                    m.owed.values().stream().filter(o -> o == Owed.BODY).count() + 1,
                    m.timers.size(),
                    "one wait for each request that isn't whole, and one for the connection");
        }
        m.close.handle(null);
        assertEquals(Map.of(), m.timers, "a wait that nobody needs");
        assertEquals(0, m.table.count());
        assertEquals(0, m.table.held());
    }

    /** The first wait that was set, or the last, runs out. */
    private static void expire(Model m, boolean first) {
        List<Long> all = new ArrayList<>(m.timers.keySet());
        m.timers.remove(all.get(first ? 0 : all.size() - 1)).run();
    }

    @Property(tries = 300, seed = "7")
    void aDrainClosesWhatRestsAndCutsNothingOff(@ForAll("drained") ActionChain<Model> chain) {
        Model m = chain.run();
        m.drain(Drain.Step.CLOSE_EMPTY);
        if (!m.closed) {
            m.reads(true);
            for (int id = 1; id <= IDS; id++) {
                m.body(id, 0);
                m.answer(id, 50_000);
            }
            m.readAnswers();
            assertTrue(m.due.values().stream().allMatch(Deque::isEmpty), "an answer was never written");
            for (int i = 0; i < 3 && !m.closed; i++) {
                expire(m, false);
            }
            assertTrue(m.closed, "empty, and still held");
        }
        m.close.handle(null);
        assertEquals(Map.of(), m.timers, "a wait that nobody needs");
        assertEquals(0, m.table.count());
    }

    @Example
    void whatWasClosedByADrainIsNotMissedOnceItEnds() {
        Model m = new Model();
        m.begin(1);
        m.body(1, 0);
        m.drain(Drain.Step.CLOSE_RESTING);
        m.drain(Drain.Step.OPEN);
        m.answer(1, 10);
        assertFalse(m.closed, "kept, as before");
        m.drain(Drain.Step.CLOSE_RESTING);
        assertFalse(m.closed, "its client may not have read its answer yet");
        expire(m, true);
        assertTrue(m.closed);
    }

    // It was: what such clients had sent meanwhile was lost with their connections, fifteen requests an upgrade.
    @Example
    void aClientThatADrainTurnsAwayIsStillReadFrom() {
        Model m = new Model();
        m.drain(Drain.Step.REFUSE);
        m.refusing = true;
        m.begin(1);
        m.feed(Record.encode(Record.STDIN, 1, Buffer.buffer()));
        assertTrue(m.text().contains("Status: 503") && m.text().contains("X-Pushback-Ms: 50"), m.text());
        assertFalse(m.paused);
        m.owed.clear();
        expire(m, true);
        assertTrue(m.closed);
    }

    @Example
    void aConnectionThatIsNotReadFromIsNotClosedByADrain() {
        Model m = new Model();
        m.begin(1);
        m.feed(Record.encode(Record.STDIN, 1, Buffer.buffer(new byte[10])));
        expire(m, false); // Not whole in time: bad input.
        m.owed.clear();
        assertTrue(m.paused);
        m.drain(Drain.Step.CLOSE_EMPTY);
        expire(m, false);
        assertFalse(m.closed, "what has come meanwhile is not read yet");
        expire(m, true);
        assertFalse(m.paused);
        expire(m, true);
        assertTrue(m.closed);
    }

    @Example
    void aSilentConnectionIsEnded() {
        Model m = new Model();
        expire(m, true);
        assertTrue(m.closed);
        assertEquals(0, m.table.count());
    }

    @Example
    void aHalfSpokenRequestFailsAndItsConnectionEndsLater() {
        Model m = new Model();
        m.begin(1);
        m.body(1, 100);
        expire(m, false);
        assertEquals(100, m.expected.get(1).length());
        assertTrue(m.text().contains("Status: 502"), m.text());
        assertFalse(m.closed);
        assertEquals(0, m.table.held());
        expire(m, true); // The client is read from again.
        expire(m, true);
        assertTrue(m.closed);
    }

    @Example
    void aConnectionAtWorkHasNoTimeLimitAndAnIdleOneHas() {
        Model m = new Model();
        m.begin(1);
        m.body(1, 0);
        assertEquals(Map.of(), m.timers);
        m.answer(1, 10);
        assertEquals(1, m.timers.size());
        expire(m, true);
        assertTrue(m.closed);
    }

    @Example
    void aBodyOverTheLimitFailsAtOnceAndIsNotReadToItsEnd() {
        Model m = new Model();
        m.begin(1);
        m.feed(Record.encode(Record.STDIN, 1, Buffer.buffer(new byte[48_001])));
        assertTrue(m.closed);
        assertTrue(m.text().contains("Status: 502"));
    }

    @Example
    void requestsThatAreNotWholeAreRefusedPastWhatAllMayHold() {
        Model m = new Model();
        for (int id = 1; id <= 30; id++) {
            m.begin(id);
            m.feed(Record.encode(Record.STDIN, id, Buffer.buffer(new byte[40_000])));
            assertTrue(m.table.held() <= 1 << 20);
        }
        assertTrue(m.text().contains("Status: 503") && m.text().contains("X-Pushback-Ms: "));
    }

    // Each write is a call of the system, and a third of a core has to do.
    @Example
    void anAnswerOfOnePieceTakesOneWrite() {
        Model m = new Model();
        m.feed(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
        m.feed(Record.encode(Record.PARAMS, 1, Record.pairs(Map.of("SCRIPT_NAME", "/alive"))));
        m.feed(Record.encode(Record.PARAMS, 1, Buffer.buffer()));
        m.feed(Record.encode(Record.STDIN, 1, Buffer.buffer()));
        assertTrue(m.text().contains("ok\n"), m.text());
        assertEquals(1, m.writes);
    }

    @Property(tries = 200, seed = "7")
    void figuresOutOfRangeFailAndAreNeverHandedOn(@ForAll("bad") Map.Entry<String, String> field) {
        Model m = new Model();
        Map<String, String> params = new LinkedHashMap<>(Map.of(
                "SCRIPT_NAME",
                "/ops/page",
                "HTTP_X_CORRELATION_ID",
                "000000000000000a",
                "HTTP_X_SUBJECT",
                "7f3a9c21e0b4d655",
                "HTTP_X_DEADLINE_MS",
                "1500"));
        params.put(field.getKey(), field.getValue());
        m.feed(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
        m.feed(Record.encode(Record.PARAMS, 1, Record.pairs(params)));
        m.feed(Record.encode(Record.PARAMS, 1, Buffer.buffer()));
        m.feed(Record.encode(Record.STDIN, 1, Buffer.buffer()));
        assertEquals(Map.of(), m.handed);
        assertTrue(m.text().contains("Status: 502"), m.text());
        assertTrue(m.paused, "read from on at full speed");
        expire(m, true);
        assertFalse(m.paused);
    }

    @Provide
    Arbitrary<Map.Entry<String, String>> bad() {
        return Arbitraries.of(
                Map.entry("HTTP_X_TAG", "256"),
                Map.entry("HTTP_X_TAG", "1e1"),
                Map.entry("HTTP_X_TAG", "1.5"),
                Map.entry("HTTP_X_TAG", "nan"),
                Map.entry("HTTP_X_CHUNK", "-4"),
                Map.entry("HTTP_X_CHUNK", "99999999999"),
                Map.entry("HTTP_X_CHUNK", "0x1p3"),
                Map.entry("HTTP_X_DEADLINE_MS", "NaN"),
                Map.entry("HTTP_X_DEADLINE_MS", "60001"),
                Map.entry("HTTP_X_NEED_KB", "1000000"),
                Map.entry("HTTP_X_NEED_KB", "Infinity"),
                Map.entry("HTTP_X_KNOWN", "a\r\nX-Keep: 3"),
                Map.entry("HTTP_X_KNOWN", "k".repeat(65)),
                Map.entry("HTTP_X_CORRELATION_ID", ""),
                Map.entry("HTTP_X_SUBJECT", "7f3a9c21e0b4d65g"),
                Map.entry("SCRIPT_NAME", "/ops/"));
    }

    @Example
    void onAFullTableTheOneThatIsMissedLeastMakesRoom() {
        ConnectionTable table = new ConnectionTable(3, 1 << 20);
        Model silent = new Model(table), idle = new Model(table), busy = new Model(table);
        idle.begin(1);
        idle.body(1, 0);
        idle.answer(1, 10);
        busy.begin(1);
        busy.body(1, 0);
        assertTrue(table.admit(1000));
        assertTrue(idle.closed && !silent.closed, "it may be about to speak");
        Model second = new Model(table);
        assertTrue(table.admit(1_000_000));
        assertTrue(silent.closed && !second.closed, "the one that was silent longest");
        second.begin(1);
        second.body(1, 0);
        Model third = new Model(table);
        third.begin(1);
        third.body(1, 0);
        assertFalse(table.admit(9_000_000), "none at work is ended");
        assertFalse(busy.closed || second.closed || third.closed);
    }

    @Example
    void aClientThatNeverReadsIsClosedBeforeItFillsTheMemory() {
        Model m = new Model(new ConnectionTable(4, 1 << 20), 900_000);
        m.reads(false);
        for (int i = 0; i < 200 && !m.closed; i++) {
            m.begin(1);
            m.body(1, 0);
            m.answer(1, 240_000);
            assertTrue(m.backlog.bytes <= m.backlog.most);
        }
        assertTrue(m.closed);
        assertEquals(0, m.backlog.bytes);
    }

    @Example
    void aClientThatNeverReadsGetsNoMoreWorkDoneAndIsEnded() {
        Model m = new Model();
        m.reads(false);
        for (int i = 0; i < 200; i++) {
            m.begin(1);
            m.body(1, 0);
            m.answer(1, 240_000);
            assertTrue(m.backlog.bytes <= PENDING_MOST + 250_000, "no answer is made for what it may never read");
        }
        assertEquals(Owed.ANSWER, m.owed.get(1));
        assertEquals(Map.of(), m.handed);
        expire(m, true);
        assertTrue(m.closed, "it is idle, with answers that it doesn't read");
        assertEquals(0, m.backlog.bytes);
    }

    // It was not read from meanwhile: an abort went unseen, and the request was sent on for a client that had gone.
    @Example
    void whatAClientThatDoesNotReadAbortsIsDroppedAtOnce() {
        Model m = new Model();
        m.reads(false);
        for (int id = 1; id <= 5; id++) {
            m.begin(id);
            m.body(id, 0);
        }
        m.answer(1, 240_000);
        m.answer(2, 240_000);
        m.answer(3, 240_000);
        m.answer(4, 240_000);
        m.begin(6);
        m.body(6, 0);
        m.begin(1);
        m.answer(6, 240_000);
        m.body(1, 0);
        assertFalse(m.handed.containsKey(1), "it waits until its client reads");
        m.abort(5);
        assertEquals(1, m.gone, "dropped at once");
        m.abort(1);
        m.reads(true);
        assertEquals(Map.of(), m.handed, "handed on after its abort");
    }

    @Example
    void aRecordThatIsNotWholeInTimeEndsAConnectionThatWasOfUse() {
        Model m = new Model();
        m.begin(1);
        m.body(1, 0);
        m.answer(1, 10);
        m.input.handle(
                Record.encode(Record.BEGIN, 2, Buffer.buffer(new byte[8])).getBuffer(0, 5));
        assertEquals(2, m.timers.size(), "one for the idle connection, one for the record");
        m.input.handle(Buffer.buffer(new byte[1]));
        expire(m, false);
        assertTrue(m.closed);
    }

    // A table that is full of them would else turn everybody away until their clients have closed.
    @Example
    void whatIsClosingMakesRoomFirst() {
        ConnectionTable table = new ConnectionTable(2, 1 << 20);
        Model closing = new Model(table);
        closing.begin(1);
        closing.body(1, 0);
        closing.answer(1, 10);
        table.drain(Drain.Step.CLOSE_EMPTY);
        expire(closing, true);
        assertTrue(closing.closed, "its output is shut");
        assertEquals(1, table.count(), "its descriptor is still in use");
        Model silent = new Model(table);
        assertTrue(table.admit(9_000_000));
        assertEquals(1, table.count());
        assertFalse(silent.closed);
    }

    @Provide
    Arbitrary<ActionChain<Model>> chains() {
        Arbitrary<Integer> id = Arbitraries.integers().between(1, IDS);
        return ActionChain.startWith(Model::new)
                .withAction(6, step(id.map(i -> Transformer.mutate("begin " + i, m -> m.begin(i)))))
                .withAction(3, step(id.map(i -> Transformer.mutate("body " + i, m -> m.body(i, i * 700)))))
                .withAction(6, step(id.map(i -> Transformer.mutate("last byte " + i, m -> m.body(i, 0)))))
                .withAction(5, step(id.map(i -> Transformer.mutate("answer " + i, m -> m.answer(i, i * 50_000)))))
                .withAction(2, step(id.map(i -> Transformer.mutate("abort " + i, m -> m.abort(i)))))
                .withAction(2, step(id.map(i -> Transformer.mutate("noise " + i, m -> m.noise(i % 3)))))
                .withAction(3, step(id.map(i -> Transformer.mutate("reads " + i, m -> m.reads(i % 2 == 0)))))
                .withAction(1, step(id.filter(i -> i == IDS).map(i -> Transformer.mutate("garbage", Model::garbage))))
                .withMaxTransformations(60);
    }

    @Provide
    Arbitrary<ActionChain<Model>> drained() {
        Arbitrary<Integer> id = Arbitraries.integers().between(1, IDS);
        return ActionChain.startWith(Model::new)
                .withAction(6, step(id.map(i -> Transformer.mutate("begin " + i, m -> m.begin(i)))))
                .withAction(3, step(id.map(i -> Transformer.mutate("body " + i, m -> m.body(i, i * 700)))))
                .withAction(6, step(id.map(i -> Transformer.mutate("last byte " + i, m -> m.body(i, 0)))))
                .withAction(5, step(id.map(i -> Transformer.mutate("answer " + i, m -> m.answer(i, i * 50_000)))))
                .withAction(3, step(id.map(i -> Transformer.mutate("reads " + i, m -> m.reads(i % 2 == 0)))))
                .withAction(
                        2,
                        step(Arbitraries.of(Drain.Step.values())
                                .map(to -> Transformer.mutate("drain " + to, m -> m.drain(to)))))
                .withMaxTransformations(40);
    }

    private static Action.Independent<Model> step(Arbitrary<Transformer<Model>> of) {
        return () -> of;
    }
}
