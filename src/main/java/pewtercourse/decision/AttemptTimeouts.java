package pewtercourse.decision;

/**
 * Decides when an attempt is overdue. The timeout follows the pace at which the endpoint answers other requests:
 * a slow endpoint gets more time, and a request whose answer was lost is repeated while its objective can still
 * be met.
 */
final class AttemptTimeouts {
    /**
     * An attempt is overdue after {@link #BASE_TIMEOUT_MICROS} plus this multiple of its expected time at its
     * endpoint's pace.
     */
    private static final double EXPECTED_TIME_MULTIPLE = 2.5;
    /** Part of every timeout, in microseconds. */
    private static final long BASE_TIMEOUT_MICROS = 100_000;
    /** Microseconds of an attempt's expected time that account for the network round trip. */
    private static final double ROUND_TRIP_MICROS = 40_000;
    /**
     * If more than this share of overdue attempts is never answered, although their endpoints answer others,
     * overdue answers are assumed to be lost rather than slow.
     */
    private static final double LOSSY_RATE = 0.5;
    /** While answers are assumed to be lost, an attempt is overdue after this share of its normal timeout. */
    private static final double LOSSY_SHARE = 0.5;
    /** Weight of the newest overdue attempt in the rate of lost answers. */
    private static final double GAIN = 0.2;

    private final FillTracker fills;
    private double lossRate;

    AttemptTimeouts(FillTracker fills) {
        this.fills = fills;
    }

    /** Returns the microseconds that an attempt takes under normal conditions. */
    double expectedTime(RequestState request, boolean fillsFromOutside) {
        return ROUND_TRIP_MICROS + request.transferTime + (fillsFromOutside ? fills.expectedWait() : 0);
    }

    /** Returns the time from which the attempt is overdue. */
    long dueAt(AttemptState attempt) {
        double timeoutShare = isLossy() ? LOSSY_SHARE : 1;
        double timeout = BASE_TIMEOUT_MICROS
                + EXPECTED_TIME_MULTIPLE * Math.max(1, attempt.endpoint.pace()) * attempt.expectedTime;
        return attempt.sentAt + (long) (timeoutShare * timeout);
    }

    /** Whether overdue answers are assumed to be lost rather than slow. */
    boolean isLossy() {
        return lossRate > LOSSY_RATE;
    }

    /** Records whether an overdue attempt was answered in the end. */
    void onOverdueAttemptEnded(boolean answered) {
        lossRate += GAIN * ((answered ? 0 : 1) - lossRate);
    }

    void decay() {
        lossRate *= Housekeeping.DECAY_PER_INTERVAL;
    }
}
