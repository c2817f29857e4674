package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.Drain;
import pewtercourse.front.RequestHandler;

/**
 * One connection from the front, with up to 32 requests open on it. A request collects PARAMS and STDIN, is
 * handed on once both have ended, and leaves when it is answered or aborted. Bad input ends the request, or,
 * where the stream of records itself is broken, the connection.
 */
final class FastCgiConnection {
    static final int OPEN_MOST = 32;
    private static final int PARAMS_MOST = 16_384, BODY_MOST = 48_000;
    // While this much is waiting to be written, requests that have come whole wait too: a client that doesn't read gets
    // no more work done. Its records are read on, so that an abort or its end is seen at once.
    private static final int PENDING_MOST = 1 << 20;
    // What the library holds for one connection: 341 clients that don't read must fit into the direct memory.
    private static final int WRITE_QUEUE = 48 * 1024;
    // From its connection on, or its first record, a request must come whole within this; the usual clients send it
    // at once. A connection that has been of use may be idle for a second longer than they keep theirs.
    static final long SPEAK_MS = 2_500, IDLE_MS = 5_000;
    // While the director drains: so long after its answer a client has read it, and nothing of its next request is
    // here.
    // SETTLE_MS: the loop reads what has come before a timer runs, so that nothing that is here is cut off.
    // NEW_REST_MS: the same for a connection on which nothing has come yet.
    static final long REST_MS = 30, SETTLE_MS = 1, NEW_REST_MS = 100;
    // A graceful close waits so long for the client's own close before it ends the connection.
    static final long LINGER_MS = 150;
    // After bad input a connection is not read for a while, longer each time: a client that repeats it at full
    // speed must not take the time of the others. Its answers are not delayed. Under the 100 ms within which nothing
    // may begin for a client that has gone: its close is not seen meanwhile.
    static final long PENALTY_FIRST_MS = 20, PENALTY_MOST_MS = 80;
    // Advice to clients that are turned away for lack of room.
    private static final long HOLD_OFF_MS = 250;

    /** Answers that wait for slow readers, on all connections: past the limit the one that waits is closed. */
    static final class Backlog {
        final long most;
        long bytes;

        Backlog(long most) {
            this.most = most;
        }
    }

    private static final class Incoming {
        final int id;
        final boolean keep;
        final Buffer params = Buffer.buffer();
        final Buffer body = Buffer.buffer();
        boolean paramsEnded, whole, handed;
        long timer = -1, wholeAt;
        Runnable gone;

        Incoming(int id, boolean keep) {
            this.id = id;
            this.keep = keep;
        }
    }

    private final NetSocket socket;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final Timers timers;
    private final ConnectionTable table;
    private final Backlog backlog;
    private final long since;
    private final RecordReader reader = new RecordReader();
    private final Map<Integer, Incoming> open = new HashMap<>();
    private final Deque<Buffer> pending = new ArrayDeque<>();
    private final Deque<Incoming> waiting = new ArrayDeque<>(); // Whole requests, until the client reads its answers.
    private ConnectionTable.State state;
    private long pendingBytes, held, unused = -1, penalty = -1, partial = -1, penaltyMs, restedOut;
    private int working;
    private boolean closed, closing, closeWhenWritten, paused, spoke, strayed;

    FastCgiConnection(
            NetSocket socket,
            RequestHandler handler,
            LongSupplier clock,
            Timers timers,
            ConnectionTable table,
            Backlog backlog,
            Runnable gone) {
        this.socket = socket;
        this.handler = handler;
        this.clock = clock;
        this.timers = timers;
        this.table = table;
        this.backlog = backlog;
        this.since = clock.getAsLong();
        socket.setWriteQueueMaxSize(WRITE_QUEUE);
        socket.handler(this::read);
        socket.drainHandler(v -> pump());
        socket.exceptionHandler(e -> Log.counted("front.connection_error", "error", e));
        socket.closeHandler(v -> {
            ended();
            gone.run();
        });
        move();
    }

    /** Clock time at which it was accepted. */
    long since() {
        return since;
    }

    @Override
    public String toString() {
        return String.valueOf(socket.remoteAddress());
    }

    // While nothing that came whole is open, the connection waits for its client, but not for long.
    private void move() {
        ConnectionTable.State to = present();
        if (to == state) {
            return;
        }
        table.moved(this, state, to);
        state = to;
        strayed = false;
        timers.cancel(unused);
        switch (to) {
            case NEW -> unused = timers.set(SPEAK_MS, this::close);
            case IDLE -> rest();
            case CLOSING -> unused = timers.set(LINGER_MS, this::close);
            default -> {}
        }
    }

    private ConnectionTable.State present() {
        if (closed) {
            return ConnectionTable.State.ENDED;
        }
        if (closing) {
            return ConnectionTable.State.CLOSING;
        }
        if (working > 0) {
            return ConnectionTable.State.WORKING;
        }
        return spoke ? ConnectionTable.State.IDLE : ConnectionTable.State.NEW;
    }

    /** Nothing is open on it: how long it stays depends on how far the director's drain has gone. */
    void rest() {
        timers.cancel(unused);
        restedOut = clock.getAsLong() + SPEAK_MS * 1000;
        unused = timers.set(restMs(), this::leave);
    }

    private long restMs() {
        return switch (table.draining()) {
            case OPEN -> IDLE_MS;
            case CLOSE_RESTING -> REST_MS;
            case CLOSE_EMPTY, REFUSE -> spoke ? SETTLE_MS : NEW_REST_MS;
        };
    }

    // A drain cuts off neither a request that has begun to come nor an answer that is still being read.
    private void leave() {
        boolean inUse = !open.isEmpty() || reader.pending() > 0 || !pending.isEmpty() || penalty >= 0;
        if (!inUse) {
            closeGracefully();
        } else if (table.draining() != Drain.Step.OPEN && clock.getAsLong() < restedOut) {
            unused = timers.set(REST_MS, this::leave);
        } else {
            close();
        }
    }

    /**
     * Shuts the output behind the last answer and waits for the client to close: a close over bytes that have come
     * unread would reset the connection, and what the client hasn't read of its answer would be lost with it. What comes
     * from now on is thrown away, as behind any close.
     */
    private void closeGracefully() {
        if (closed || closing) {
            return;
        }
        closing = true;
        timers.cancel(partial);
        move();
        GracefulClose.shutOutput(socket);
    }

    private void hold() {
        long more = reader.pending() - held;
        held += more;
        if (!table.hold(more) && reader.pending() > 0 && working == 0) {
            bad("no room for its record");
            close();
        }
    }

    // A record that has begun must come whole in time, also on a connection that has been of use.
    private void awaitRest(boolean progress) {
        if (progress || reader.pending() == 0) {
            timers.cancel(partial);
            partial = -1;
        }
        if (partial < 0 && reader.pending() > 0) {
            partial = timers.set(SPEAK_MS, () -> {
                partial = -1;
                bad("a record that is not whole in time");
                close();
            });
        }
    }

    private void read(Buffer bytes) {
        if (closing) {
            return;
        }
        try {
            reader.add(bytes);
            boolean progress = false;
            for (Record r = reader.next(); r != null && !closed && !closing; r = reader.next()) {
                take(r);
                progress = true;
            }
            if (!closed && !closing) {
                hold();
            }
            if (!closed && !closing) {
                awaitRest(progress);
            }
        } catch (MalformedRecordException e) {
            bad(e.getMessage());
            close();
        } catch (RuntimeException e) {
            Log.error("front.unexpected", e);
            close();
        }
    }

    // What belongs to no request: legal behind an abort, but no reason to stay. A request must begin in time, or this
    // would
    // go on for as long as an idle connection may.
    private void passedOver() {
        if (state == ConnectionTable.State.IDLE && !strayed && table.draining() == Drain.Step.OPEN) {
            strayed = true;
            timers.cancel(unused);
            unused = timers.set(SPEAK_MS, this::leave);
        }
    }

    private void take(Record r) throws MalformedRecordException {
        Incoming in = open.get(r.id());
        if (in == null && r.type() != Record.BEGIN) {
            passedOver();
        }
        switch (r.type()) {
            case Record.BEGIN -> begin(r, in);
            case Record.ABORT -> abort(r.id(), in);
            case Record.PARAMS -> {
                if (in != null && !in.paramsEnded) {
                    in.paramsEnded = r.content().length() == 0;
                    collect(r, in, in.params, PARAMS_MOST);
                }
            }
            case Record.STDIN -> {
                if (in != null && !in.whole) {
                    collect(r, in, in.body, BODY_MOST);
                    if (r.content().length() == 0 && open.get(r.id()) == in) {
                        complete(in);
                    }
                }
            }
            case Record.GET_VALUES -> manage(Record.encode(Record.GET_VALUES_RESULT, 0, values(r.content())));
            default -> {
                if (r.id() == 0) {
                    manage(Record.unknownType(r.type()));
                }
            }
        }
    }

    // Asked for at any rate and never read, such answers would fill the memory.
    private void manage(Buffer answer) {
        write(answer);
        if (pendingBytes > PENDING_MOST) {
            punish();
        }
    }

    private void begin(Record r, Incoming in) throws MalformedRecordException {
        if (r.id() == 0 || in != null || r.content().length() < 8) {
            throw new MalformedRecordException("BEGIN_REQUEST that can't be used, id " + r.id());
        }
        boolean keep = (r.content().getByte(2) & Record.KEEP_CONN) != 0;
        if (r.content().getUnsignedShort(0) != Record.RESPONDER) {
            write(Record.end(r.id(), Record.UNKNOWN_ROLE));
            closeWhenWritten |= !keep;
            return;
        }
        Incoming fresh = new Incoming(r.id(), keep);
        if (open.size() >= OPEN_MOST) {
            reply(r.id(), fresh, Answer.refused(HOLD_OFF_MS), Record.OVERLOADED);
            punish();
            return;
        }
        open.put(r.id(), fresh);
        long left = spoke ? SPEAK_MS : Math.max(1, SPEAK_MS - (clock.getAsLong() - since) / 1000);
        fresh.timer = timers.set(left, () -> reject(r.id(), fresh, "not whole in time"));
    }

    private void collect(Record r, Incoming in, Buffer into, int most) {
        into.appendBuffer(r.content());
        boolean room = table.hold(r.content().length());
        if (into.length() > most) {
            // Whatever follows would only be thrown away: it may be tens of megabytes.
            closeWhenWritten = true;
            reject(r.id(), in, (into == in.params ? "PARAMS" : "STDIN") + " over " + most + " bytes");
        } else if (!room) {
            bad("no room for its request");
            answer(r.id(), in, Answer.refused(HOLD_OFF_MS));
        }
    }

    /** Bad input: the request fails at once, and the client is read from more slowly. */
    private void reject(int id, Incoming in, String why) {
        bad(why);
        answer(id, in, Answer.failed());
    }

    private void bad(String why) {
        Log.counted("front.malformed", "from", this, "error", why);
        punish();
    }

    private void punish() {
        if (penalty < 0 && !closed) {
            penaltyMs = Math.min(PENALTY_MOST_MS, Math.max(PENALTY_FIRST_MS, 2 * penaltyMs));
            penalty = timers.set(penaltyMs, () -> {
                penalty = -1;
                pump();
            });
            pump();
        }
    }

    /** It is out of {@code open} by now: nothing of it may stay, neither a timer nor its bytes in the count. */
    private void release(Incoming in) {
        timers.cancel(in.timer);
        if (in.handed) {
            working--;
        } else {
            table.hold(-in.params.length() - in.body.length());
        }
        spoke = true;
    }

    private void abort(int id, Incoming in) {
        if (in == null) {
            return;
        }
        open.remove(id);
        release(in);
        if (in.gone != null) {
            in.gone.run();
        }
        closeWhenWritten |= !in.keep;
        write(Record.end(id, Record.REQUEST_COMPLETE));
        move();
    }

    private void complete(Incoming in) {
        timers.cancel(in.timer);
        in.whole = true;
        in.wholeAt = clock.getAsLong();
        if (pendingBytes > PENDING_MOST) {
            waiting.add(in);
        } else {
            hand(in);
        }
    }

    private void handWaiting() {
        while (!closed && pendingBytes <= PENDING_MOST && !waiting.isEmpty()) {
            Incoming in = waiting.poll();
            if (open.get(in.id) == in) {
                hand(in);
            }
        }
    }

    private void hand(Incoming in) {
        int id = in.id;
        in.handed = true;
        table.hold(-in.params.length() - in.body.length());
        working++;
        move();
        try {
            Map<String, String> params = Record.pairs(in.params);
            if (CgiRequest.isHealthCheck(params)) {
                answer(
                        id,
                        in,
                        handler.ready() ? Answer.served(Buffer.buffer("ok\n"), null) : Answer.refused(HOLD_OFF_MS));
                return;
            }
            ClientRequest request = CgiRequest.decode(params, in.body, in.wholeAt);
            Runnable gone = handler.handle(request, a -> answer(id, in, a));
            in.gone = gone;
            // Answered on the spot: it could not be used, unless the director drains. What a client that is not read
            // from
            // has sent would then be lost with the connection.
            if (open.get(id) != in && table.draining() != Drain.Step.REFUSE) {
                punish();
            } else {
                penaltyMs = 0;
            }
        } catch (MalformedRecordException e) {
            reject(id, in, e.getMessage());
        } catch (RuntimeException e) {
            Log.error("front.unexpected", e);
            answer(id, in, Answer.failed());
        }
    }

    /** Only the request that is open under this id is answered: never one that was aborted meanwhile. */
    private void answer(int id, Incoming in, Answer answer) {
        if (closed || in == null || open.get(id) != in) {
            return;
        }
        open.remove(id);
        release(in);
        reply(id, in, answer, Record.REQUEST_COMPLETE);
        move();
    }

    // Its last piece goes out with the records that end it: each write of its own costs a call of the system.
    private void reply(int id, Incoming in, Answer answer, int protocolStatus) {
        Buffer out = CgiRequest.encode(answer);
        int at = 0;
        for (; out.length() - at > Record.PIECE; at += Record.PIECE) {
            queue(Record.encode(Record.STDOUT, id, out.slice(at, at + Record.PIECE)));
        }
        closeWhenWritten |= !in.keep;
        write(Record.encode(Record.STDOUT, id, out.slice(at, out.length()))
                .appendBuffer(Record.encode(Record.STDOUT, id, Buffer.buffer()))
                .appendBuffer(Record.end(id, protocolStatus)));
    }

    private static Buffer values(Buffer asked) throws MalformedRecordException {
        Map<String, String> known = new LinkedHashMap<>();
        for (String name : Record.pairs(asked).keySet()) {
            switch (name) {
                case "FCGI_MAX_CONNS" -> known.put(name, "300");
                case "FCGI_MAX_REQS" -> known.put(name, String.valueOf(300 * OPEN_MOST));
                case "FCGI_MPXS_CONNS" -> known.put(name, "1");
                default -> {}
            }
        }
        return Record.pairs(known);
    }

    private void queue(Buffer b) {
        pending.add(b);
        count(b.length());
    }

    private void count(long bytes) {
        pendingBytes += bytes;
        backlog.bytes += bytes;
    }

    private void write(Buffer b) {
        queue(b);
        pump();
    }

    private void pump() {
        while (!closed && !pending.isEmpty() && !socket.writeQueueFull()) {
            Buffer b = pending.poll();
            count(-b.length());
            socket.write(b);
        }
        if (closed) {
            return;
        }
        if (pendingBytes > 0 && backlog.bytes > backlog.most) {
            Log.counted("front.slow_reader", "from", socket.remoteAddress(), "waiting", pendingBytes);
            close();
            return;
        }
        if (paused != penalty >= 0) {
            paused = !paused;
            if (paused) {
                socket.pause();
            } else {
                socket.resume();
            }
        }
        handWaiting();
        if (closeWhenWritten && pending.isEmpty() && open.isEmpty()) {
            closeGracefully();
        }
    }

    /** Ends it, whatever is open on it. */
    void close() {
        socket.close();
        ended();
    }

    private void ended() {
        if (closed) {
            return;
        }
        closed = true;
        pending.clear();
        waiting.clear();
        count(-pendingBytes);
        timers.cancel(penalty);
        timers.cancel(partial);
        table.hold(-held);
        for (Incoming in : open.values()) {
            release(in);
            if (in.gone != null) {
                in.gone.run();
            }
        }
        open.clear();
        move();
    }
}
