package pewtercourse.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Forwards TCP connections of one link and injects faults: bytes are held back, late or cut off by a reset. Confined to one
 * event loop.
 */
public final class FaultProxy {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_HELD_BYTES = 4 << 20;

    private final Vertx vertx;
    private final NetClient client;
    private final IntSupplier targetPort;
    private final Consumer<Buffer> onBytesToTarget;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private boolean held;
    private long delayMs;
    private int port;

    /**
     * Creates a proxy without faults.
     *
     * @param onBytesToTarget sees what the callers send, when it arrives at the proxy
     */
    public FaultProxy(Vertx vertx, NetClient client, IntSupplier targetPort, Consumer<Buffer> onBytesToTarget) {
        this.vertx = vertx;
        this.client = client;
        this.targetPort = targetPort;
        this.onBytesToTarget = onBytesToTarget;
    }

    /** Opens the listening socket at any free port. */
    public Future<Void> listen() {
        return vertx.createNetServer(new NetServerOptions().setHost(HOST).setTcpNoDelay(true))
                .connectHandler(caller -> connections.add(new Connection(caller)))
                .listen(0)
                .onSuccess(server -> port = server.actualPort())
                .mapEmpty();
    }

    /** Address at which the proxy listens. */
    public String address() {
        return HOST + ":" + port;
    }

    /** Whether bytes are held back now. */
    public boolean isHeld() {
        return held;
    }

    /** Holds back all bytes, and ends of connections, until {@link #release}. */
    public void hold() {
        held = true;
    }

    /** Forwards what was held back. */
    public void release() {
        held = false;
        Set.copyOf(connections).forEach(Connection::flush);
    }

    /** Forwards bytes this much later from now on. */
    public void setDelayMs(long millis) {
        delayMs = millis;
    }

    /** Resets all connections. */
    public void reset() {
        Set.copyOf(connections).forEach(Connection::close);
    }

    /** The two directions of one connection, with what waits to be forwarded. */
    private final class Connection {
        private final NetSocket caller;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private NetSocket target;
        private int waitingBytes;
        private long lastDueMs;
        private boolean closed;

        Connection(NetSocket caller) {
            this.caller = caller;
            caller.exceptionHandler(e -> {});
            caller.handler(bytes -> {
                onBytesToTarget.accept(bytes);
                forward(bytes.length(), () -> target.write(bytes));
            });
            caller.closeHandler(v -> forward(0, this::close));
            client.connect(targetPort.getAsInt(), HOST).onComplete(connected -> {
                if (connected.failed() || closed) {
                    close();
                    return;
                }
                target = connected.result();
                target.exceptionHandler(e -> {});
                target.handler(bytes -> forward(bytes.length(), () -> caller.write(bytes)));
                target.closeHandler(v -> forward(0, this::close));
                flush();
            });
        }

        private void forward(int bytes, Runnable action) {
            long nowMs = System.nanoTime() / 1_000_000;
            lastDueMs = Math.max(lastDueMs, nowMs + delayMs);
            if (lastDueMs > nowMs) {
                vertx.setTimer(lastDueMs - nowMs, timer -> enqueue(bytes, action));
            } else {
                enqueue(bytes, action);
            }
        }

        private void enqueue(int bytes, Runnable action) {
            waitingBytes += bytes;
            waiting.add(action);
            if (waitingBytes > MAX_HELD_BYTES) {
                close();
            }
            flush();
        }

        void flush() {
            while (!held && !closed && target != null && !waiting.isEmpty()) {
                waiting.poll().run();
            }
            waitingBytes = waiting.isEmpty() ? 0 : waitingBytes;
        }

        void close() {
            closed = true;
            connections.remove(this);
            caller.close();
            if (target != null) {
                target.close();
            }
        }
    }
}
