package pewtercourse.front;

import pewtercourse.Log;

/**
 * Counts how long requests may have waited before they were read, and the clients that left without an answer. Confined to
 * the event loop.
 */
public final class ReadDelays {
    /** From this delay on a client that leaves may get an attempt made too long after it has left. */
    private static final long LATE_MICROS = 100_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private long lateReads;
    private long longestWaitMicros;
    private long clientsLeft;

    /** A request was read, at most this long after it had arrived. */
    public void recordRead(String connection, long waitedMicros) {
        longestWaitMicros = Math.max(longestWaitMicros, waitedMicros);
        if (waitedMicros > LATE_MICROS) {
            lateReads++;
            Log.counted("request.read_late", "from", connection, "waited_ms", waitedMicros / MICROS_PER_MILLI);
        }
    }

    /** A client has left while its request was open. */
    public void recordClientLeft() {
        clientsLeft++;
    }

    /** Number of requests that may have waited for over 0.1 s before they were read. */
    public long lateReads() {
        return lateReads;
    }

    /** The longest time that a request may have waited before it was read. */
    public long longestWaitMicros() {
        return longestWaitMicros;
    }

    /** Number of requests whose client left before the answer. */
    public long clientsLeft() {
        return clientsLeft;
    }
}
