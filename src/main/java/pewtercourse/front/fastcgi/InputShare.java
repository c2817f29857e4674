package pewtercourse.front.fastcgi;

/**
 * Divides the event loop's time for input among the connections: how many records one connection may have handled in a
 * turn, and how long it then waits. The more connections wait for that reason, the less each gets, so that all of them
 * together leave most of the time to the others. One for all connections of a server; confined to the event loop.
 */
final class InputShare {
    /** A client with 32 open requests at once needs fewer records than this. */
    static final int MAX_RECORDS = 256;

    static final int MIN_RECORDS = 8;
    /** The content of the records that one connection may have handled in a turn. */
    static final int MAX_BYTES = 256 * 1024;

    private static final long PAUSE_MS_PER_CONNECTION = 5;
    private static final int CONNECTIONS_AT_MAX_PAUSE =
            (int) (FastCgiConnection.MAX_PENALTY_MS / PAUSE_MS_PER_CONNECTION);

    private int waiting;

    /** How many records one connection may have handled in a turn. */
    int recordsPerTurn() {
        int divisor = Math.max(1, waiting / CONNECTIONS_AT_MAX_PAUSE);
        return Math.max(MIN_RECORDS, MAX_RECORDS / divisor);
    }

    /** A connection waits from now on; returns for how long. */
    long beginWait() {
        waiting++;
        return Math.min(FastCgiConnection.MAX_PENALTY_MS, PAUSE_MS_PER_CONNECTION * waiting);
    }

    /** A connection that waited may go on, or has ended. */
    void endWait() {
        waiting--;
    }
}
