package pewtercourse.failover;

/**
 * One member's observation of one site in the last seconds.
 *
 * @param caches   the site's caches in the member's endpoint list
 * @param parents  parents of the site's hub in the member's endpoint list
 * @param attempts how the member's attempts at the site's caches ended
 * @param load     concurrent transfers that the site's clients request from this member; 0 at another site's member
 */
public record SiteObservation(EndpointCount caches, EndpointCount parents, AttemptCounts attempts, double load) {
    /** Whether this observation alone looks like a lost site. */
    boolean signalsLoss() {
        return attempts.conclusive() && attempts.mostFailed() || caches.allMissing();
    }
}
