package pewtercourse.failover;

/**
 * The agreed status of one site.
 *
 * @param phase           whether the site is whole, impaired, lost or returning
 * @param health          health of the site when the status was agreed
 * @param step            current step of a recovery or a drill: index in {@link FailoverTiming#recoverySteps}
 * @param flaps           relapses since the site last stayed healthy for the maximum recovery delay
 * @param held            whether an operator keeps the site from recovering
 * @param drill           whether an operator has the site fail over on purpose
 * @param lastChangeIndex log index of the last change, which the next change has to name
 */
public record SiteStatus(
        Phase phase, SiteHealth health, int step, int flaps, boolean held, boolean drill, long lastChangeIndex) {
    /** The constants' names are stored in the replicated log and shown to operators, so they can't be renamed. */
    public enum Phase {
        /** The site serves all of its clients, and may serve clients of other sites. */
        WHOLE,
        /** The site serves its own clients, but no clients of other sites. */
        IMPAIRED,
        /** Other sites serve the clients of this site. */
        LOST,
        /**
         * The site is on the recovery ramp, or a drill takes its load away step by step: other sites serve some of its
         * clients.
         */
        RETURNING
    }

    /** The status of a site that has never changed. */
    public static final SiteStatus INITIAL = new SiteStatus(Phase.WHOLE, SiteHealth.WELL, 0, 0, false, false, 0);

    /** Whether other sites serve the load of the site, or a part of it. */
    public boolean diverted() {
        return phase == Phase.LOST || phase == Phase.RETURNING;
    }

    SiteStatus with(SiteStatusChange change, long index) {
        return new SiteStatus(change.phase(), change.health(), change.step(), change.flaps(), held, drill, index);
    }

    SiteStatus withOperatorCommand(boolean nextHeld, boolean nextDrill, long index) {
        return new SiteStatus(phase, health, step, flaps, nextHeld, nextDrill, index);
    }
}
