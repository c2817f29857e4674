package pewtercourse.decision;

/**
 * One entry of the endpoint list.
 *
 * @param zone index of the endpoint's zone, -1 if unknown
 * @param cell failure domain within the zone
 * @param weight relative capacity, 0 if unknown
 * @param startedAt time of the last start, 0 if it was long ago
 */
public record Endpoint(
        long id, int zone, EndpointRole role, int cell, EndpointLifecycle lifecycle, double weight, long startedAt) {}
