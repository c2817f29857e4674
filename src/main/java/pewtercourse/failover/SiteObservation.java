package pewtercourse.failover;

/**
 * What one member saw of one site in the last seconds.
 *
 * @param caches   the site's caches in the member's endpoint list
 * @param parents  parents of the site's hub in that list
 * @param attempts how the member's attempts at the site's caches ended
 * @param load     concurrent transfers that the site's own clients ask this member for; 0 where it stands elsewhere
 */
public record SiteObservation(EndpointCount caches, EndpointCount parents, AttemptCounts attempts, double load) {
    /** Whether this observation alone looks like a lost site. */
    boolean signalsLoss() {
        return attempts.conclusive() && attempts.mostFailed() || caches.allGone();
    }
}
