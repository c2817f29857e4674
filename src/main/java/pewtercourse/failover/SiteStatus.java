package pewtercourse.failover;

/**
 * What is agreed on one site.
 *
 * @param step  of a return: place in {@link Sites.Timing#steps}
 * @param flaps relapses since it was whole for long
 * @param held  an operator keeps it from returning
 * @param drill an operator had it lost on purpose
 * @param entry the entry of the last change: who asks for the next one names it
 */
public record SiteStatus(Phase phase, SiteHealth health, int step, int flaps, boolean held, boolean drill, long entry) {
    /** Where a site stands between whole and whole again. */
    public enum Phase {
        WHOLE,
        IMPAIRED,
        LOST,
        RETURNING
    }

    /** Of a site of which nothing was ever said. */
    public static final SiteStatus WHOLE = new SiteStatus(Phase.WHOLE, SiteHealth.WELL, 0, 0, false, false, 0);

    /** Whether its load, or a part of it, is served elsewhere. */
    public boolean away() {
        return phase == Phase.LOST || phase == Phase.RETURNING;
    }

    SiteStatus to(Phase phase, SiteHealth health, int step, int flaps, long entry) {
        return new SiteStatus(phase, health, step, flaps, held, drill, entry);
    }
}
