package pewtercourse.raft.net;

import io.vertx.core.AsyncResult;
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
 * Sends messages to one other member over one connection. The connection is opened with the first message and, after a
 * failure, opened again with exponential backoff and jitter. While it is down or slow, the newest messages wait in a
 * bounded queue and the oldest are dropped. A network may drop messages too: Raft sends the necessary ones again.
 * Confined to the event loop.
 */
final class OutboundConnection {
    private static final int MAX_QUEUED_FRAMES = 256;
    private static final long MAX_QUEUED_BYTES = 8L << 20;
    private static final long FIRST_BACKOFF_MS = 25;
    private static final long MAX_BACKOFF_MS = 400;
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 2_000;
    private static final long NO_TIMER = -1;

    private final NetClient client;
    private final Timers timers;
    private final Random random;
    private final Supplier<SocketAddress> address;
    private final Wire.Frame hello;
    private final Deque<Buffer> queue = new ArrayDeque<>();
    private long queuedBytes;
    private long droppedFrames;
    private long backoffMs = FIRST_BACKOFF_MS;
    private long reconnectTimer = NO_TIMER;
    private long acknowledgementTimer = NO_TIMER;
    private NetSocket socket; // Null while not connected.
    private boolean connecting;
    private boolean closed;

    /**
     * Creates the connection to a member without opening it.
     *
     * @param address returns the address of the member, or null while it is not known; called before each attempt to
     *     connect
     * @param hello the first message of each connection
     */
    OutboundConnection(
            NetClient client, Timers timers, Random random, Supplier<SocketAddress> address, Wire.Frame hello) {
        this.client = client;
        this.timers = timers;
        this.random = random;
        this.address = address;
        this.hello = hello;
    }

    /** Sends a message, or queues it while it can't be written to the socket. */
    void send(Wire.Frame message) {
        if (closed) {
            return;
        }
        enqueue(FrameCodec.encode(message));
        if (socket != null) {
            writeQueued();
        } else if (!connecting && reconnectTimer == NO_TIMER) {
            connect();
        }
    }

    private void enqueue(Buffer frame) {
        queue.add(frame);
        queuedBytes += frame.length();
        while (queue.size() > MAX_QUEUED_FRAMES || queuedBytes > MAX_QUEUED_BYTES && queue.size() > 1) {
            queuedBytes -= queue.poll().length();
            droppedFrames++;
        }
    }

    /** The number of messages that were dropped because the queue was full. */
    long droppedFrames() {
        return droppedFrames;
    }

    private void connect() {
        SocketAddress memberAddress = address.get();
        if (memberAddress == null) {
            reconnectLater();
            return;
        }
        connecting = true;
        client.connect(memberAddress).onComplete(this::onConnectCompleted);
    }

    private void onConnectCompleted(AsyncResult<NetSocket> result) {
        connecting = false;
        if (closed) {
            if (result.succeeded()) {
                result.result().close();
            }
        } else if (result.failed()) {
            reconnectLater();
        } else {
            onConnected(result.result());
        }
    }

    private void onConnected(NetSocket opened) {
        socket = opened;
        opened.exceptionHandler(e -> {}); // The close handler is called next.
        opened.handler(acknowledgement -> onAcknowledged());
        opened.drainHandler(v -> writeQueued());
        opened.closeHandler(v -> onDisconnected(opened));
        write(FrameCodec.encode(hello));
        writeQueued();
    }

    // The remote end sends a byte for each read, starting with the hello. Without this byte the connection may be
    // open but not alive.
    private void onAcknowledged() {
        backoffMs = FIRST_BACKOFF_MS;
        stopAcknowledgementTimer();
    }

    private void onDisconnected(NetSocket closedSocket) {
        if (socket == closedSocket) {
            socket = null;
            stopAcknowledgementTimer();
            reconnectLater();
        }
    }

    private void reconnectLater() {
        if (closed || reconnectTimer != NO_TIMER) {
            return;
        }
        long delayMs = backoffMs / 2 + (long) (random.nextDouble() * backoffMs);
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        reconnectTimer = timers.set(Math.max(1, delayMs), this::reconnect);
    }

    private void reconnect() {
        reconnectTimer = NO_TIMER;
        if (!queue.isEmpty()) {
            connect();
        }
    }

    private void writeQueued() {
        while (socket != null && !queue.isEmpty() && !socket.writeQueueFull()) {
            Buffer frame = queue.poll();
            queuedBytes -= frame.length();
            write(frame);
        }
    }

    private void write(Buffer frame) {
        NetSocket current = socket;
        if (acknowledgementTimer == NO_TIMER) {
            acknowledgementTimer = timers.set(ACKNOWLEDGEMENT_TIMEOUT_MS, current::close);
        }
        current.write(frame);
    }

    private void stopAcknowledgementTimer() {
        timers.cancel(acknowledgementTimer);
        acknowledgementTimer = NO_TIMER;
    }

    /** Closes the connection for good and drops the queued messages. */
    void close() {
        closed = true;
        timers.cancel(reconnectTimer);
        timers.cancel(acknowledgementTimer);
        queue.clear();
        if (socket != null) {
            socket.close();
        }
    }
}
