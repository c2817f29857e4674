package pewtercourse.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import pewtercourse.Timers;

/**
 * Tracks the open connections of operators. Protects against callers that connect and never finish a call: a call must be
 * complete within a time limit, and when the table is full, the oldest connection is closed for a new one.
 */
final class CallTable<C> {
    static final int MAX_CONNECTIONS = 12;
    static final long CALL_TIMEOUT_MS = 2_000;

    private final Map<C, Long> timersByConnection = new LinkedHashMap<>(); // The oldest connection first.
    private final Timers timers;
    private final java.util.function.Consumer<C> closeConnection;

    /**
     * Creates a table.
     *
     * @param closeConnection closes a connection; its close is reported to {@link #onClosed} like any other
     */
    CallTable(Timers timers, java.util.function.Consumer<C> closeConnection) {
        this.timers = timers;
        this.closeConnection = closeConnection;
    }

    /** Adds a connection; closes the oldest one if the table is full. */
    void onOpened(C connection) {
        if (timersByConnection.size() >= MAX_CONNECTIONS) {
            close(timersByConnection.keySet().iterator().next());
        }
        timersByConnection.put(connection, timers.set(CALL_TIMEOUT_MS, () -> close(connection)));
    }

    /** Removes a connection that has been closed. */
    void onClosed(C connection) {
        Long timer = timersByConnection.remove(connection);
        if (timer != null) {
            timers.cancel(timer);
        }
    }

    /** The number of open connections. */
    int size() {
        return timersByConnection.size();
    }

    private void close(C connection) {
        onClosed(connection);
        closeConnection.accept(connection);
    }
}
