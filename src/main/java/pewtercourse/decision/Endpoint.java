package pewtercourse.decision;

/**
 * One entry of the endpoint list.
 *
 * @param zone index of its zone, -1 if unknown
 * @param cell failure domain within the zone
 * @param weight relative capacity, 0 if not told
 * @param startedAt time of its last start, 0 for long ago
 */
public record Endpoint(
        long id, int zone, EndpointRole role, int cell, EndpointLifecycle lifecycle, double weight, long startedAt) {}
