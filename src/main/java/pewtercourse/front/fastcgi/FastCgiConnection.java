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
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;

/**
 * One connection from the front, with up to 32 requests open on it. A request collects PARAMS and STDIN, is
 * handed on once both have ended, and leaves when it is answered or aborted. Bad input ends the request, or,
 * where the stream of records itself is broken, the connection.
 */
final class FastCgiConnection {
    static final int OPEN_MOST = 32;
    private static final int PARAMS_MOST = 16_384, BODY_MOST = 1 << 20;
    // Reading stops while this much is waiting to be written: a client that doesn't read gets no more work done.
    private static final int PENDING_PAUSE = 1 << 20;
    // What the library holds for one connection: 341 clients that don't read must fit into the direct memory.
    private static final int WRITE_QUEUE = 48 * 1024;
    /** Answers that wait for slow readers, on all connections: past this the one that waits is closed. */
    static final long BACKLOG_MOST = 24 << 20;

    /** Bytes that wait to be written, on all connections of a server. */
    static final class Backlog {
        long bytes;
    }

    private static final class Incoming {
        final Buffer params = Buffer.buffer();
        final Buffer body = Buffer.buffer();
        boolean keep, paramsEnded, handed;
        Runnable gone;
    }

    private final NetSocket socket;
    private final RequestHandler handler;
    private final LongSupplier clock;
    private final Backlog backlog;
    private final RecordReader reader = new RecordReader();
    private final Map<Integer, Incoming> open = new HashMap<>();
    private final Deque<Buffer> pending = new ArrayDeque<>();
    private long pendingBytes;
    private boolean closed, closeWhenWritten, paused;

    FastCgiConnection(NetSocket socket, RequestHandler handler, LongSupplier clock, Backlog backlog) {
        this.socket = socket;
        this.handler = handler;
        this.clock = clock;
        this.backlog = backlog;
        socket.setWriteQueueMaxSize(WRITE_QUEUE);
        socket.handler(this::read);
        socket.drainHandler(v -> pump());
        socket.exceptionHandler(e -> Log.info("front.connection_error", "error", e));
        socket.closeHandler(v -> ended());
    }

    private void read(Buffer bytes) {
        try {
            reader.add(bytes);
            for (Record r = reader.next(); r != null && !closed; r = reader.next()) {
                take(r);
            }
        } catch (MalformedRecordException e) {
            Log.warn("front.malformed", "from", socket.remoteAddress(), "error", e.getMessage());
            close();
        } catch (RuntimeException e) {
            Log.error("front.unexpected", e);
            close();
        }
    }

    private void take(Record r) throws MalformedRecordException {
        Incoming in = open.get(r.id());
        switch (r.type()) {
            case Record.BEGIN -> begin(r, in);
            case Record.ABORT -> abort(r.id(), in);
            case Record.PARAMS -> {
                if (in != null && !in.paramsEnded) {
                    in.params.appendBuffer(r.content());
                    in.paramsEnded = r.content().length() == 0;
                    limit(r.id(), in.params.length() > PARAMS_MOST, "PARAMS over " + PARAMS_MOST + " bytes");
                }
            }
            case Record.STDIN -> {
                if (in != null && !in.handed) {
                    in.body.appendBuffer(r.content());
                    limit(r.id(), in.body.length() > BODY_MOST, "STDIN over " + BODY_MOST + " bytes");
                    if (r.content().length() == 0 && open.get(r.id()) == in) {
                        hand(r.id(), in);
                    }
                }
            }
            case Record.GET_VALUES -> write(Record.encode(Record.GET_VALUES_RESULT, 0, values(r.content())));
            default -> {
                if (r.id() == 0) {
                    write(Record.unknownType(r.type()));
                }
            }
        }
    }

    private void begin(Record r, Incoming in) throws MalformedRecordException {
        if (r.id() == 0 || in != null || r.content().length() < 8) {
            throw new MalformedRecordException("BEGIN_REQUEST that can't be used, id " + r.id());
        }
        boolean keep = (r.content().getByte(2) & Record.KEEP_CONN) != 0;
        if (r.content().getUnsignedShort(0) != Record.RESPONDER || open.size() >= OPEN_MOST) {
            boolean role = r.content().getUnsignedShort(0) != Record.RESPONDER;
            write(Record.end(r.id(), role ? Record.UNKNOWN_ROLE : Record.OVERLOADED));
            closeWhenWritten |= !keep;
            return;
        }
        Incoming fresh = new Incoming();
        fresh.keep = keep;
        open.put(r.id(), fresh);
    }

    private void limit(int id, boolean over, String what) {
        if (over) {
            Log.warn("front.malformed", "from", socket.remoteAddress(), "id", id, "error", what);
            answer(id, open.get(id), Answer.failed());
        }
    }

    private void abort(int id, Incoming in) {
        if (in == null) {
            return;
        }
        open.remove(id);
        if (in.gone != null) {
            in.gone.run();
        }
        write(Record.end(id, Record.REQUEST_COMPLETE));
        closeWhenWritten |= !in.keep;
    }

    private void hand(int id, Incoming in) {
        in.handed = true;
        try {
            Map<String, String> params = Record.pairs(in.params);
            if (CgiRequest.isHealthCheck(params)) {
                answer(id, in, Answer.served(Buffer.buffer("ok\n"), null));
                return;
            }
            ClientRequest request = CgiRequest.decode(params, in.body, clock.getAsLong());
            Runnable gone = handler.handle(request, a -> answer(id, in, a));
            in.gone = gone;
        } catch (MalformedRecordException e) {
            Log.warn("front.malformed", "from", socket.remoteAddress(), "id", id, "error", e.getMessage());
            answer(id, in, Answer.failed());
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
        Buffer out = CgiRequest.encode(answer);
        for (int at = 0; at < out.length(); at += Record.PIECE) {
            queue(Record.encode(Record.STDOUT, id, out.slice(at, Math.min(out.length(), at + Record.PIECE))));
        }
        queue(Record.encode(Record.STDOUT, id, Buffer.buffer()));
        closeWhenWritten |= !in.keep;
        write(Record.end(id, Record.REQUEST_COMPLETE));
    }

    private static Buffer values(Buffer asked) throws MalformedRecordException {
        Map<String, String> known = new LinkedHashMap<>();
        for (String name : Record.pairs(asked).keySet()) {
            switch (name) {
                case "FCGI_MAX_CONNS" -> known.put(name, "300");
                case "FCGI_MAX_REQS" -> known.put(name, String.valueOf(300 * OPEN_MOST));
                case "FCGI_MPXS_CONNS" -> known.put(name, "1");
                default -> { }
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
        if (pendingBytes > 0 && backlog.bytes > BACKLOG_MOST) {
            Log.warn("front.slow_reader", "from", socket.remoteAddress(), "waiting", pendingBytes);
            close();
            return;
        }
        if (paused != pendingBytes > PENDING_PAUSE) {
            paused = !paused;
            if (paused) {
                socket.pause();
            } else {
                socket.resume();
            }
        }
        if (closeWhenWritten && pending.isEmpty() && open.isEmpty()) {
            socket.end();
        }
    }

    private void close() {
        socket.close();
        ended();
    }

    private void ended() {
        if (closed) {
            return;
        }
        closed = true;
        pending.clear();
        count(-pendingBytes);
        for (Incoming in : open.values()) {
            if (in.gone != null) {
                in.gone.run();
            }
        }
        open.clear();
    }
}
