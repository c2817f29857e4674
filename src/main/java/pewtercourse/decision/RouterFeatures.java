package pewtercourse.decision;

/**
 * What a router may do.
 *
 * @param requestCoalescing caches may answer several requests by one fill
 * @param cacheBypassAllowed parents may answer clients while there is no cache
 * @param gossipEnabled routers may tell each other their access counts
 * @param parallelAttempts a safe request may be at several caches at once
 * @param attemptCancellation attempts under way may be cancelled
 */
public record RouterFeatures(
        boolean requestCoalescing,
        boolean cacheBypassAllowed,
        boolean gossipEnabled,
        boolean parallelAttempts,
        boolean attemptCancellation) {
    RouterFeatures withoutGossip() {
        return new RouterFeatures(requestCoalescing, cacheBypassAllowed, false, parallelAttempts, attemptCancellation);
    }
}
