package pewtercourse.failover;

/**
 * The agreed status of one site.
 *
 * @param phase           where it stands between whole and whole again
 * @param health          what was wrong with it when the status was agreed
 * @param step            of a recovery: index in {@link FailoverTiming#recoverySteps}
 * @param flaps           relapses since it was last whole for long
 * @param held            an operator keeps it from recovering
 * @param drill           an operator has it fail over on purpose
 * @param lastChangeIndex log index of the last change, which the next change has to name
 */
public record SiteStatus(
        Phase phase, SiteHealth health, int step, int flaps, boolean held, boolean drill, long lastChangeIndex) {
    /** The constants' names are stored in the replicated log and shown to operators: they can't be renamed. */
    public enum Phase {
        /** Serves all of its clients. */
        WHOLE,
        /** Serves its own clients, but none of other sites. */
        IMPAIRED,
        /** Its clients are served elsewhere. */
        LOST,
        /**
         * On the recovery ramp, or step by step on its way out in a drill: some of its clients are served elsewhere.
         */
        RETURNING
    }

    /** Of a site whose status was never changed. */
    public static final SiteStatus INITIAL = new SiteStatus(Phase.WHOLE, SiteHealth.WELL, 0, 0, false, false, 0);

    /** Whether its load, or a part of it, is served elsewhere. */
    public boolean diverted() {
        return phase == Phase.LOST || phase == Phase.RETURNING;
    }

    SiteStatus with(SiteStatusChange change, long index) {
        return new SiteStatus(change.phase(), change.health(), change.step(), change.flaps(), held, drill, index);
    }

    SiteStatus withOperatorOrder(boolean nextHeld, boolean nextDrill, long index) {
        return new SiteStatus(phase, health, step, flaps, nextHeld, nextDrill, index);
    }
}
