package pewtercourse.decision;

/**
 * Features that a router may use.
 *
 * @param requestCoalescing whether caches may answer several requests by one fill
 * @param cacheBypassAllowed whether parents may answer clients while there is no cache
 * @param gossipEnabled whether routers may send one another their access counts
 * @param parallelAttempts whether a safe request may be at several caches at once
 * @param attemptCancellation whether attempts in flight may be cancelled
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
