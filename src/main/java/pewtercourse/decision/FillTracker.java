package pewtercourse.decision;

/**
 * Tracks the fills from parents and the origin: how many are in flight, how long they take, and how likely an
 * attempt needs one.
 */
final class FillTracker {
    /** Weight of the newest sample. */
    private static final double GAIN = 0.1;
    /** Microseconds. */
    private static final double INITIAL_WAIT_MICROS = 50_000;

    private static final double INITIAL_PROBABILITY = 0.5;

    final ConcurrencyLimiter limiter;
    private double expectedWait = INITIAL_WAIT_MICROS;
    private double probability = INITIAL_PROBABILITY;

    FillTracker(int routersInZone) {
        limiter = new ConcurrencyLimiter(routersInZone);
    }

    /** Microseconds that a fill is expected to add to an answer. */
    double expectedWait() {
        return expectedWait;
    }

    /**
     * Probability that an attempt that is not expected to hit needs a fill. The fewer hints a router has, the
     * more of these attempts hit nevertheless.
     */
    double probability() {
        return probability;
    }

    void recordWait(double sample) {
        expectedWait += GAIN * (Math.max(0, sample) - expectedWait);
    }

    void recordNeed(boolean filled) {
        probability += GAIN * ((filled ? 1 : 0) - probability);
    }
}
