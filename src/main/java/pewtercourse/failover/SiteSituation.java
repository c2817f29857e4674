package pewtercourse.failover;

/**
 * The input for the decision on the next change of a site's status.
 *
 * @param site            name of the site
 * @param status          the agreed status
 * @param statusAgeMicros how long this member has known the agreed status
 * @param health          the health according to the observations
 * @param healthAgeMicros how long the observations have shown this health
 * @param lossConfirmed   whether more than one observation looked like a loss
 * @param attempts        recent attempts at the site's caches by its own directors
 */
record SiteSituation(
        String site,
        SiteStatus status,
        long statusAgeMicros,
        SiteHealth health,
        long healthAgeMicros,
        boolean lossConfirmed,
        AttemptCounts attempts) {
    SiteStatusChange whole(int flaps) {
        return change(SiteStatus.Phase.WHOLE, health, 0, flaps);
    }

    SiteStatusChange impaired() {
        return change(SiteStatus.Phase.IMPAIRED, health, 0, status.flaps());
    }

    SiteStatusChange lost(int flaps) {
        return change(SiteStatus.Phase.LOST, health, 0, flaps);
    }

    /** Returns the change to a loss in a drill, in which the site has no fault. */
    SiteStatusChange lostInDrill() {
        return change(SiteStatus.Phase.LOST, SiteHealth.WELL, 0, status.flaps());
    }

    SiteStatusChange returning(int step) {
        return change(SiteStatus.Phase.RETURNING, status.health(), step, status.flaps());
    }

    private SiteStatusChange change(SiteStatus.Phase phase, SiteHealth newHealth, int step, int flaps) {
        return new SiteStatusChange(site, phase, newHealth, step, flaps, status.lastChangeIndex());
    }
}
