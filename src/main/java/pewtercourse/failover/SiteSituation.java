package pewtercourse.failover;

/**
 * All that the next change of a site's status depends on.
 *
 * @param site            its name
 * @param status          the agreed status
 * @param statusAgeMicros how long this member has known of it
 * @param health          the health that the observations tell of
 * @param healthAgeMicros how long they have told of it
 * @param lossConfirmed   whether more than one observation looked like a loss
 * @param attempts        recent attempts at its caches by its own directors
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

    /** Lost by an operator's order, with nothing wrong. */
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
