package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import pewtercourse.Timers;

/** Runs a watch against a feed, connections and timers that a test controls. */
final class WatchedFeed {
    private static final int MAX_CONNECTIONS = 2;

    /** The kinds of data that the feed sends on a connection, or a disconnect. */
    enum Sending {
        COMPLETE,
        DUPLICATE,
        PARTIAL,
        MALFORMED,
        GAP,
        COMMENT,
        DISCONNECT
    }

    /** The feed's side of a connection of the watch. */
    static final class FeedConnection {
        final InetSocketAddress address;
        final WatchTransport.Listener listener;
        long lastSent;
        boolean connected;
        boolean closed;

        FeedConnection(InetSocketAddress address, long lastEvent, WatchTransport.Listener listener) {
            this.address = address;
            this.lastSent = lastEvent;
            this.listener = listener;
        }
    }

    /** Timers that the test fires. */
    private final class ManualTimers implements Timers {
        private long lastTimer;

        @Override
        public long set(long delayMs, Runnable task) {
            timers.put(++lastTimer, task);
            delaysMs.add(delayMs);
            return lastTimer;
        }

        @Override
        public void cancel(long timer) {
            timers.remove(timer);
        }

        @Override
        public void afterReads(Runnable action) {
            onReadArrived.run();
            action.run();
        }
    }

    /** Delivers what has arrived and is not read yet. */
    Runnable onReadArrived = () -> {};

    final List<FeedConnection> connections = new ArrayList<>();
    /** The numbers of the events that the watch has handled. */
    final List<Long> handled = new ArrayList<>();

    private final Map<Long, Runnable> timers = new TreeMap<>();
    private final List<Long> delaysMs = new ArrayList<>();
    private final EndpointWatch watch;
    private int port = 1;

    WatchedFeed() {
        this(7);
    }

    WatchedFeed(long seed) {
        watch = new EndpointWatch(
                this::open,
                new ManualTimers(),
                address(port),
                0,
                new Random(seed),
                event -> handled.add(event.number()));
        watch.start();
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private WatchTransport.Connection open(
            InetSocketAddress address, long lastEvent, WatchTransport.Listener listener) {
        FeedConnection connection = new FeedConnection(address, lastEvent, listener);
        connections.add(connection);
        return () -> connection.closed = true;
    }

    FeedConnection lastConnection() {
        return connections.get(connections.size() - 1);
    }

    int openConnections() {
        return (int)
                connections.stream().filter(connection -> !connection.closed).count();
    }

    void move() {
        port++;
        watch.move(address(port));
    }

    /** Sends on the open connection at {@code index} modulo their number; does nothing if none is open. */
    void send(int index, Sending sending) {
        List<FeedConnection> open =
                connections.stream().filter(connection -> !connection.closed).toList();
        if (open.isEmpty()) {
            return;
        }
        FeedConnection connection = open.get(index % open.size());
        if (!connection.connected) {
            connection.connected = true;
            connection.listener.connected();
        }
        send(connection, sending);
    }

    private static void send(FeedConnection connection, Sending sending) {
        long next = connection.lastSent + 1;
        switch (sending) {
            case COMPLETE -> {
                receive(connection, event(next, next));
                connection.lastSent = next;
            }
            case DUPLICATE -> {
                long sentBefore = Math.max(1, connection.lastSent);
                receive(connection, event(sentBefore, sentBefore));
            }
            case PARTIAL -> {
                String complete = event(next, next);
                receive(connection, complete.substring(0, complete.length() - 1));
                disconnect(connection);
            }
            case MALFORMED -> receive(connection, "data: {\"n\":" + next + ",\"purge\":\n\n");
            case GAP -> receive(connection, event(next, next + 1));
            case COMMENT -> receive(connection, ": here\n\n");
            case DISCONNECT -> disconnect(connection);
        }
    }

    private static String event(long id, long number) {
        return "id: " + id + "\ndata: {\"n\":" + number + "}\n\n";
    }

    private static void receive(FeedConnection connection, String text) {
        connection.listener.received(Buffer.buffer(text));
    }

    private static void disconnect(FeedConnection connection) {
        connection.listener.disconnected("closed");
        connection.closed = true;
    }

    /** Disconnects the only connection and returns the delay, in milliseconds, before the watch reconnects. */
    long delayAfterDisconnect() {
        delaysMs.clear();
        send(0, Sending.DISCONNECT);
        return delaysMs.get(delaysMs.size() - 1);
    }

    /** Fires the pending timer at {@code index} modulo their number, in the order in which they were set. */
    void fireTimer(int index) {
        if (!timers.isEmpty()) {
            Long timer = new ArrayList<>(timers.keySet()).get(index % timers.size());
            timers.remove(timer).run();
        }
    }

    void fireLastTimer() {
        fireTimer(timers.size() - 1);
    }

    void checkInvariants() {
        assertEquals(
                LongStream.rangeClosed(1, handled.size()).boxed().toList(),
                handled,
                "events were not handled once and in order");
        assertTrue(openConnections() <= MAX_CONNECTIONS, "more than the old and the new connection are open");
        assertTrue(timers.size() <= MAX_CONNECTIONS, "more timers than connections");
        assertFalse(timers.isEmpty(), "neither a silence timer nor a reconnect timer is set");
        assertEquals(port, lastConnection().address.getPort(), "the last connection has another port");
    }
}
