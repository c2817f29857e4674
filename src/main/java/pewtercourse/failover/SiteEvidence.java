package pewtercourse.failover;

/** All fresh observations of one site, summed up for one judgement of its health. */
final class SiteEvidence {
    private AttemptCounts attempts = AttemptCounts.NONE;
    private boolean healthyFromInside;
    private boolean directorHeard;
    // Members whose list knows caches of the site; among them those that miss all, most, or all parents of its hub.
    private int listeners;
    private int listenersWithoutCaches;
    private int listenersWithFewCaches;
    private int listenersWithoutParents;

    /** A director of the site was heard from lately. */
    void directorHeard() {
        directorHeard = true;
    }

    /**
     * Adds what one member saw.
     *
     * @param fromInside whether the member is a director of the site
     */
    void add(SiteObservation observation, boolean fromInside) {
        AttemptCounts seen = observation.attempts();
        attempts = attempts.plus(seen);
        healthyFromInside |= fromInside && seen.enoughCompleted() && seen.fewFailed();
        if (observation.caches().known()) {
            listeners++;
            listenersWithoutCaches += observation.caches().allGone() ? 1 : 0;
            listenersWithFewCaches += observation.caches().mostGone() ? 1 : 0;
            listenersWithoutParents += observation.parents().allGone() ? 1 : 0;
        }
    }

    /** Whether no director of the site was heard from. */
    boolean noDirectorHeard() {
        return !directorHeard;
    }

    /**
     * The health that the observations tell of.
     *
     * @param directorsSilent whether the site has directors, and none of them is heard from
     */
    SiteHealth health(boolean directorsSilent) {
        if (cachesFail()) {
            return directorsSilent ? SiteHealth.ALL : SiteHealth.CACHES;
        }
        if (directorsSilent) {
            return SiteHealth.DIRECTORS;
        }
        if (mostListeners(listenersWithoutParents)) {
            return SiteHealth.PARENTS;
        }
        boolean someFail = attempts.conclusive() && !attempts.fewFailed();
        if (someFail || mostListeners(listenersWithFewCaches)) {
            return SiteHealth.PARTLY;
        }
        return attempts.conclusive() && attempts.mostLate() ? SiteHealth.SLOW : SiteHealth.WELL;
    }

    private boolean cachesFail() {
        boolean attemptsFail = attempts.conclusive() && attempts.mostFailed() && !healthyFromInside;
        // Endpoint lists come late and shrink by mistake: an empty one counts only where most members have it and no
        // attempt contradicts it.
        boolean contradicted = attempts.conclusive() && attempts.fewFailed();
        boolean unlisted = mostListeners(listenersWithoutCaches) && !contradicted;
        return attemptsFail || unlisted;
    }

    private boolean mostListeners(int count) {
        return listeners > 0 && 2 * count > listeners;
    }
}
