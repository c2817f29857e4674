package pewtercourse.failover;

/** Combines all fresh observations of one site into an assessment of its health. */
final class SiteEvidence {
    private AttemptCounts attempts = AttemptCounts.NONE;
    private boolean healthyToOwnDirectors;
    private boolean directorReported;
    // Members whose endpoint list has ever had caches of the site. Of these members: how many find all caches,
    // most caches, or all parents of the site's hub missing.
    private int listingMembers;
    private int membersMissingAllCaches;
    private int membersMissingMostCaches;
    private int membersMissingAllParents;

    /** Records that a director of the site has reported recently. */
    void recordDirectorReport() {
        directorReported = true;
    }

    /**
     * Adds the observation of one member.
     *
     * @param fromOwnDirector whether the member is a director of the site
     */
    void add(SiteObservation observation, boolean fromOwnDirector) {
        AttemptCounts memberAttempts = observation.attempts();
        attempts = attempts.plus(memberAttempts);
        healthyToOwnDirectors |= fromOwnDirector && memberAttempts.hasEnoughCompleted() && memberAttempts.fewFailed();
        if (observation.caches().everListed()) {
            listingMembers++;
            membersMissingAllCaches += observation.caches().allMissing() ? 1 : 0;
            membersMissingMostCaches += observation.caches().mostMissing() ? 1 : 0;
            membersMissingAllParents += observation.parents().allMissing() ? 1 : 0;
        }
    }

    /** Whether no director of the site has reported recently. */
    boolean noDirectorReported() {
        return !directorReported;
    }

    /**
     * Returns the health of the site according to the observations.
     *
     * @param directorsSilent whether the site has directors and none of them has reported recently
     */
    SiteHealth health(boolean directorsSilent) {
        if (cachesFail()) {
            return directorsSilent ? SiteHealth.ALL : SiteHealth.CACHES;
        }
        if (directorsSilent) {
            return SiteHealth.DIRECTORS;
        }
        if (mostListingMembers(membersMissingAllParents)) {
            return SiteHealth.PARENTS;
        }
        boolean someAttemptsFail = attempts.conclusive() && !attempts.fewFailed();
        if (someAttemptsFail || mostListingMembers(membersMissingMostCaches)) {
            return SiteHealth.PARTLY;
        }
        return attempts.conclusive() && attempts.mostLate() ? SiteHealth.SLOW : SiteHealth.WELL;
    }

    private boolean cachesFail() {
        boolean mostAttemptsFail = attempts.conclusive() && attempts.mostFailed() && !healthyToOwnDirectors;
        // Endpoint lists may be late or lose entries by mistake. Missing caches therefore count only if most
        // members miss them and the attempts don't contradict the list.
        boolean contradicted = attempts.conclusive() && attempts.fewFailed();
        boolean cachesMissing = mostListingMembers(membersMissingAllCaches) && !contradicted;
        return mostAttemptsFail || cachesMissing;
    }

    private boolean mostListingMembers(int count) {
        return listingMembers > 0 && 2 * count > listingMembers;
    }
}
