package pewtercourse.decision;

/**
 * Outlier detection for one endpoint: whether it fails so often that it is ejected for a while. After the ejection it gets
 * one trial request at a time, and a longer ejection for each trial that fails. An unlucky endpoint loses its share of the
 * requests for a second.
 */
final class EndpointHealth {
    /** Weight of the newest attempt. */
    static final double GAIN = 0.2;
    /** Failure rate from which it is ejected. */
    private static final double EJECTION_RATE = 0.45;
    /** Failure rate from which it gets no request that can't be repeated, if another fails less. */
    private static final double UNRELIABLE_RATE = 0.1;
    /** Microseconds of the first ejection. */
    static final long FIRST_EJECTION = 1_000_000;
    /** Microseconds of the longest ejection. */
    private static final long MAX_EJECTION = 8_000_000;

    private double failureRate;
    private long ejectionTime;
    private long ejectedUntil;
    private boolean trialInFlight;

    /** Takes in one more answer or failure. */
    void record(long now, boolean failed) {
        failureRate += GAIN * ((failed ? 1 : 0) - failureRate);
        boolean onTrial = isEjected() && now >= ejectedUntil;
        if (failed && (onTrial || !isEjected() && failureRate > EJECTION_RATE)) {
            ejectionTime = Math.max(FIRST_EJECTION, Math.min(MAX_EJECTION, 2 * ejectionTime));
            ejectedUntil = now + ejectionTime;
        } else if (!failed && onTrial) {
            ejectedUntil = 0;
            failureRate = EJECTION_RATE / 2;
        } else if (!failed && failureRate < EJECTION_RATE / 20) {
            ejectionTime = 0;
        }
    }

    /** Whether it is ejected or on trial. */
    boolean isEjected() {
        return ejectedUntil > 0;
    }

    /** Whether a request may be sent to it, be it as a trial. */
    boolean isUsable(long now) {
        return !isEjected() || now >= ejectedUntil && !trialInFlight;
    }

    /** Whether it fails so seldom that a request which can't be repeated may be sent to it. */
    boolean isReliable() {
        return !isEjected() && failureRate < UNRELIABLE_RATE;
    }

    /** Whether it fails clearly less than what gets ejected. */
    boolean isWell() {
        return !isEjected() && failureRate < EJECTION_RATE / 2;
    }

    double failureRate() {
        return failureRate;
    }

    void onAttemptSent() {
        trialInFlight |= isEjected();
    }

    void onAttemptEnded() {
        trialInFlight = false;
    }
}
