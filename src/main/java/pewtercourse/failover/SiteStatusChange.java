package pewtercourse.failover;

/**
 * A proposed change of a site's status.
 *
 * @param site          name of the site
 * @param phase         the new phase
 * @param health        the new health
 * @param step          new step of a recovery or a drill: index in {@link FailoverTiming#recoverySteps}
 * @param flaps         relapses since the site last stayed healthy for the maximum recovery delay
 * @param expectedIndex log index of the site's change that this one builds on; rejected if the site has changed since
 */
public record SiteStatusChange(
        String site, SiteStatus.Phase phase, SiteHealth health, int step, int flaps, long expectedIndex) {}
