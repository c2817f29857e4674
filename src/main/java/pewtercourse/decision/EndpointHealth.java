package pewtercourse.decision;

/**
 * Outlier detection for one endpoint. An endpoint that fails too often is ejected for a while. After the
 * ejection it gets one trial request at a time; each failed trial leads to a longer ejection. An endpoint that
 * fails several times by chance loses its share of the requests for a second.
 */
final class EndpointHealth {
    /** Weight of the newest attempt in a moving average. */
    static final double GAIN = 0.2;
    /** Failure rate above which the endpoint is ejected. */
    private static final double EJECTION_RATE = 0.45;
    /** Failure rate from which requests that can't be repeated go to a more reliable endpoint, if there is one. */
    private static final double UNRELIABLE_RATE = 0.1;
    /** Duration of the first ejection. */
    static final long FIRST_EJECTION_MICROS = 1_000_000;
    /** Duration of the longest ejection. */
    private static final long MAX_EJECTION_MICROS = 8_000_000;

    private double failureRate;
    private long ejectionDuration;
    private long ejectedUntil;
    private boolean trialInFlight;

    /** Records an answer or a failure. */
    void record(long now, boolean failed) {
        failureRate += GAIN * ((failed ? 1 : 0) - failureRate);
        boolean onTrial = isEjected() && now >= ejectedUntil;
        if (failed && (onTrial || !isEjected() && failureRate > EJECTION_RATE)) {
            ejectionDuration = Math.max(FIRST_EJECTION_MICROS, Math.min(MAX_EJECTION_MICROS, 2 * ejectionDuration));
            ejectedUntil = now + ejectionDuration;
        } else if (!failed && onTrial) {
            ejectedUntil = 0;
            failureRate = EJECTION_RATE / 2;
        } else if (!failed && failureRate < EJECTION_RATE / 20) {
            ejectionDuration = 0;
        }
    }

    /** Whether the endpoint is ejected or on trial. */
    boolean isEjected() {
        return ejectedUntil > 0;
    }

    /** Whether a request may be sent to the endpoint, possibly as a trial. */
    boolean isUsable(long now) {
        return !isEjected() || now >= ejectedUntil && !trialInFlight;
    }

    /** Whether the endpoint fails rarely enough to get requests that can't be repeated. */
    boolean isReliable() {
        return !isEjected() && failureRate < UNRELIABLE_RATE;
    }

    /** Whether the failure rate is clearly below the one that leads to an ejection. */
    boolean isHealthy() {
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
