package pewtercourse.failover;

import java.util.List;

/**
 * How long signs must last before a site's status changes.
 *
 * @param lossDelayMicros           how long the signs of a loss must last; half of it for an impairment
 * @param recoveryDelayMicros       how long a lost site must look healthy before its load comes back; doubled at each
 *                                  flap
 * @param maxRecoveryDelayMicros    the longest such delay; a site that stays whole for it has its flaps forgotten
 * @param minRecoveryStepMicros     the shortest time that a step of the recovery ramp lasts
 * @param recoverySteps             shares of its load that come back step by step: increasing, the last one 1
 * @param observationLifetimeMicros how long a member's observation counts
 */
public record FailoverTiming(
        long lossDelayMicros,
        long recoveryDelayMicros,
        long maxRecoveryDelayMicros,
        long minRecoveryStepMicros,
        List<Double> recoverySteps,
        long observationLifetimeMicros) {
    // Keeps the backoff's shift within a long.
    private static final int MAX_DOUBLINGS = 20;

    /** The step at which all of a site's load is back. */
    int lastStep() {
        return recoverySteps.size() - 1;
    }

    /**
     * How long a lost site must look healthy: exponential backoff by its flaps, up to the longest delay.
     *
     * @param flaps relapses since the site was last whole for long
     */
    long recoveryDelayMicros(int flaps) {
        return Math.min(maxRecoveryDelayMicros, recoveryDelayMicros << Math.min(MAX_DOUBLINGS, flaps));
    }
}
