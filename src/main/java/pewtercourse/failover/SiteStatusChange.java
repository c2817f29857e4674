package pewtercourse.failover;

/**
 * A change of a site's status that is to be agreed on.
 *
 * @param site          its name
 * @param phase         the new phase
 * @param health        what is wrong with it now
 * @param step          of a recovery: index in {@link FailoverTiming#recoverySteps}
 * @param flaps         relapses since it was last whole for long
 * @param expectedIndex log index of the change that this one builds on; it is rejected once there is a later one
 */
public record SiteStatusChange(
        String site, SiteStatus.Phase phase, SiteHealth health, int step, int flaps, long expectedIndex) {}
