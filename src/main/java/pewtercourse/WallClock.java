package pewtercourse;

/**
 * The system's wall clock. It may be stepped by any amount at any time: it is read only for times that leave the process
 * (log lines, operators' records) and never for a span of time. Spans are measured with {@link MonotonicClock}.
 */
public final class WallClock {
    private WallClock() {}

    /** The current time in Unix milliseconds. */
    public static long unixMillis() {
        return System.currentTimeMillis();
    }
}
