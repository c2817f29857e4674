package pewtercourse.decision;

/**
 * What the endpoint list and the caches offer.
 *
 * @param pushedEndpointUpdates changes of the list come by themselves and need no {@link WatchEndpoints}
 * @param weightsAreCapacities weights are lasting capacities, not hints
 */
public record UpstreamFeatures(
        boolean pushedEndpointUpdates,
        boolean weightsAreCapacities,
        SiblingFillPolicy siblingFillPolicy,
        CacheStatusDetail cacheStatusDetail) {}
