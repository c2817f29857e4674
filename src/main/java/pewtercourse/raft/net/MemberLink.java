package pewtercourse.raft.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Supplier;
import pewtercourse.Timers;
import pewtercourse.raft.wire.Wire;

/**
 * What goes to one other member, on one connection that is made anew after a random, growing wait. While it is down or
 * slow the newest frames wait, up to a bound; the oldest are dropped, as a network may drop them.
 */
final class MemberLink {
    private static final int FRAMES_MOST = 256;
    private static final long BYTES_MOST = 8L << 20, WAIT_FIRST_MS = 25, WAIT_MOST_MS = 400, SILENT_MS = 2_000;

    private final NetClient client;
    private final Timers timers;
    private final Random random;
    private final Supplier<SocketAddress> address; // Null while it is not known.
    private final Wire.Frame hello;
    private final Deque<Buffer> waiting = new ArrayDeque<>();
    private long bytes, waitMs = WAIT_FIRST_MS, timer = -1, silent = -1, dropped;
    private NetSocket socket;
    private boolean connecting, closed;

    MemberLink(NetClient client, Timers timers, Random random, Supplier<SocketAddress> address, Wire.Frame hello) {
        this.client = client;
        this.timers = timers;
        this.random = random;
        this.address = address;
        this.hello = hello;
    }

    void send(Wire.Frame frame) {
        if (closed) {
            return;
        }
        Buffer b = FrameReader.encode(frame);
        waiting.add(b);
        bytes += b.length();
        while (waiting.size() > FRAMES_MOST || bytes > BYTES_MOST && waiting.size() > 1) {
            bytes -= waiting.poll().length();
            dropped++;
        }
        if (socket != null) {
            pump();
        } else if (!connecting && timer < 0) {
            connect();
        }
    }

    long dropped() {
        return dropped;
    }

    boolean up() {
        return socket != null;
    }

    private void connect() {
        SocketAddress to = address.get();
        if (to == null) {
            again();
            return;
        }
        connecting = true;
        client.connect(to).onComplete(c -> {
            connecting = false;
            if (closed) {
                if (c.succeeded()) {
                    c.result().close();
                }
            } else if (c.failed()) {
                again();
            } else {
                up(c.result());
            }
        });
    }

    private void up(NetSocket s) {
        socket = s;
        s.exceptionHandler(e -> {});
        // A byte for each read on the other side, from the hello on: without it the connection only looks alive.
        s.handler(b -> {
            waitMs = WAIT_FIRST_MS;
            timers.cancel(silent);
            silent = -1;
        });
        s.drainHandler(v -> pump());
        s.closeHandler(v -> {
            if (socket == s) {
                socket = null;
                timers.cancel(silent);
                silent = -1;
                again();
            }
        });
        write(FrameReader.encode(hello));
        pump();
    }

    private void again() {
        if (!closed && timer < 0) {
            long in = waitMs / 2 + (long) (random.nextDouble() * waitMs);
            waitMs = Math.min(WAIT_MOST_MS, 2 * waitMs);
            timer = timers.set(Math.max(1, in), () -> {
                timer = -1;
                if (!waiting.isEmpty()) {
                    connect();
                }
            });
        }
    }

    private void pump() {
        while (socket != null && !waiting.isEmpty() && !socket.writeQueueFull()) {
            Buffer b = waiting.poll();
            bytes -= b.length();
            write(b);
        }
    }

    private void write(Buffer b) {
        NetSocket s = socket;
        if (silent < 0) {
            silent = timers.set(SILENT_MS, s::close);
        }
        s.write(b);
    }

    void close() {
        closed = true;
        timers.cancel(timer);
        timers.cancel(silent);
        waiting.clear();
        if (socket != null) {
            socket.close();
        }
    }
}
