package pewtercourse.failover;

import java.util.List;

/**
 * The delays between a sign of loss or recovery and the change of a site's status, and the steps of a recovery.
 *
 * @param lossDelayMicros           how long signs of a loss must last before the site is lost; signs of an
 *                                  impairment must last half as long
 * @param recoveryDelayMicros       how long a lost site must look healthy before its load returns; doubles with each
 *                                  flap
 * @param maxRecoveryDelayMicros    the maximum recovery delay; the flaps of a site that stays healthy this long are
 *                                  reset
 * @param minRecoveryStepMicros     the minimum duration of a step of the recovery ramp
 * @param recoverySteps             the share of a site's load that it serves at each step; increasing, the last is 1
 * @param observationLifetimeMicros how long a member's observation is used
 */
public record FailoverTiming(
        long lossDelayMicros,
        long recoveryDelayMicros,
        long maxRecoveryDelayMicros,
        long minRecoveryStepMicros,
        List<Double> recoverySteps,
        long observationLifetimeMicros) {
    // Limits the shift of the exponential backoff so that the delay fits into a long.
    private static final int MAX_DOUBLINGS = 20;

    /** The index of the last step, at which a site serves all of its load again. */
    int lastStep() {
        return recoverySteps.size() - 1;
    }

    /**
     * Returns how long a lost site must look healthy: exponential backoff by its flaps, up to the maximum delay.
     *
     * @param flaps relapses since the site last stayed healthy for the maximum recovery delay
     */
    long recoveryDelayMicros(int flaps) {
        return Math.min(maxRecoveryDelayMicros, recoveryDelayMicros << Math.min(MAX_DOUBLINGS, flaps));
    }
}
