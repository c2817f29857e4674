package pewtercourse.decision;

/**
 * When an attempt is overdue. That follows the pace at which its endpoint answers others: a slow endpoint is waited for, a
 * lost answer is repeated while its objective may yet be met.
 */
final class AttemptTimeouts {
    /** An attempt is overdue after this multiple of its usual time at its endpoint's pace ... */
    private static final double USUAL_TIMES = 2.5;
    /** ... and these microseconds. */
    private static final long FLOOR = 100_000;
    /** Microseconds that an attempt's way counts for in its usual time. */
    private static final double ROUND_TRIP = 40_000;
    /**
     * Share of overdue attempts never answered, at endpoints that answer others, from which answers count as lost, not
     * slow.
     */
    private static final double LOSSY_RATE = 0.5;
    /** An attempt is then overdue after this share of its time. */
    private static final double LOSSY_SHARE = 0.5;
    /** Weight of the newest overdue attempt in the rate of lost answers. */
    private static final double GAIN = 0.2;

    private final FillTracker fills;
    private double lossRate;

    AttemptTimeouts(FillTracker fills) {
        this.fills = fills;
    }

    /** Microseconds that an attempt takes when all is well. */
    double usualTime(RequestState request, boolean fillsFromOutside) {
        return ROUND_TRIP + request.transferTime + (fillsFromOutside ? fills.expectedWait() : 0);
    }

    /** From this time on the attempt is overdue. */
    long dueAt(AttemptState attempt) {
        double share = isLossy() ? LOSSY_SHARE : 1;
        double patience = FLOOR + USUAL_TIMES * Math.max(1, attempt.endpoint.pace()) * attempt.usualTime;
        return attempt.sentAt + (long) (share * patience);
    }

    /** Whether overdue answers are rather lost than slow. */
    boolean isLossy() {
        return lossRate > LOSSY_RATE;
    }

    /** An overdue attempt has ended at last: with an answer, or without. */
    void onOverdueAttemptEnded(boolean answered) {
        lossRate += GAIN * ((answered ? 0 : 1) - lossRate);
    }

    void fade() {
        lossRate *= Housekeeping.FADE;
    }
}
