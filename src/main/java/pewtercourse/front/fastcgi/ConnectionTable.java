package pewtercourse.front.fastcgi;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pewtercourse.Log;
import pewtercourse.front.Drain;

/**
 * Tracks all connections of a front. Protects against clients that open hundreds
 * of connections and send nothing, or send one request and keep the connection: when the table is full, a new connection
 * replaces a closing, silent or idle one. Confined to the event loop.
 */
final class ConnectionTable {
    /**
     * The state of a connection. {@code NEW}: no request has ended yet, and none is complete. {@code WORKING}: at least one
     * complete request is open. {@code IDLE}: no complete request is open, and an earlier request has ended.
     * {@code CLOSING}: the output is shut down, and the connection waits for the client to close. {@code ENDED}: closed.
     */
    enum State {
        NEW,
        WORKING,
        IDLE,
        CLOSING,
        ENDED
    }

    // How long a client that has just connected may take for its first request before it is closed
    // for another one.
    private static final long FIRST_REQUEST_GRACE_MICROS = 500_000;

    private final int maxConnections;
    private final Set<FastCgiConnection> newConnections = new LinkedHashSet<>();
    private final Set<FastCgiConnection> idleConnections = new LinkedHashSet<>();
    private final Set<FastCgiConnection> closingConnections = new LinkedHashSet<>();
    private final Set<FastCgiConnection> connections = new LinkedHashSet<>(); // Those that have not ended.
    private Drain.Stage drainStage = Drain.Stage.OPEN;

    ConnectionTable(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Makes room for a new connection; false if the table is full and no connection may be closed for it. */
    boolean admit(long nowMicros) {
        while (connections.size() >= maxConnections) {
            FastCgiConnection evicted = selectConnectionToClose(nowMicros);
            // The client of a connection that looks unused may have sent a request that is not read yet.
            if (evicted != null && evicted.changesStateOnRead()) {
                continue;
            }
            Log.counted(
                    "front.full", "connections", connections.size(), "ended", evicted == null ? "the newest" : evicted);
            if (evicted == null) {
                return false;
            }
            evicted.close();
        }
        return true;
    }

    private FastCgiConnection selectConnectionToClose(long nowMicros) {
        if (!closingConnections.isEmpty()) {
            return first(closingConnections);
        }
        FastCgiConnection oldestNew = first(newConnections);
        FastCgiConnection longestIdle = first(idleConnections);
        boolean graceExpired =
                oldestNew != null && nowMicros - oldestNew.acceptedAtMicros() > FIRST_REQUEST_GRACE_MICROS;
        return oldestNew != null && (graceExpired || longestIdle == null) ? oldestNew : longestIdle;
    }

    private static FastCgiConnection first(Set<FastCgiConnection> connections) {
        Iterator<FastCgiConnection> iterator = connections.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    /** Records each change of state; the connection that became idle last is the last idle one to be closed. */
    void onStateChanged(FastCgiConnection connection, State from, State to) {
        if (to == State.ENDED) {
            connections.remove(connection);
        } else {
            connections.add(connection);
        }
        newConnections.remove(connection);
        idleConnections.remove(connection);
        closingConnections.remove(connection);
        switch (to) {
            case NEW -> newConnections.add(connection);
            case IDLE -> idleConnections.add(connection);
            case CLOSING -> closingConnections.add(connection);
            default -> {}
        }
    }

    /**
     * Sets the stage of the drain. It applies to the idle connections at once, and to the new ones once requests are
     * refused.
     */
    void setDrainStage(Drain.Stage stage) {
        drainStage = stage;
        List.copyOf(idleConnections).forEach(FastCgiConnection::startIdleTimer);
        if (stage == Drain.Stage.REFUSE) {
            List.copyOf(newConnections).forEach(FastCgiConnection::startIdleTimer);
        }
    }

    /** The current stage of the drain. */
    Drain.Stage drainStage() {
        return drainStage;
    }

    /** Whether a client still reads answers. */
    boolean isDelivering() {
        return connections.stream().anyMatch(FastCgiConnection::isDelivering);
    }

    /** The number of connections that have not ended. */
    int connectionCount() {
        return connections.size();
    }
}
