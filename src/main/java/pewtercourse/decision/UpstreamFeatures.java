package pewtercourse.decision;

/**
 * Features of the endpoint list and the caches.
 *
 * @param pushedEndpointUpdates whether changes of the endpoint list arrive without a {@link WatchEndpoints}
 * @param weightsAreCapacities whether weights are lasting capacities rather than hints
 * @param siblingFillPolicy which other caches a cache may fill from
 * @param cacheStatusDetail how much the caches report about where an answer came from
 */
public record UpstreamFeatures(
        boolean pushedEndpointUpdates,
        boolean weightsAreCapacities,
        SiblingFillPolicy siblingFillPolicy,
        CacheStatusDetail cacheStatusDetail) {}
