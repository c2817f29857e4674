package pewtercourse.decision;

/**
 * What operators may see of a router's state.
 *
 * @param ejectedEndpoints listed endpoints that get no requests for now because they failed
 * @param slowStartLimited whether an endpoint in slow start lately had no budget left for a request
 */
public record RouterStatus(int ejectedEndpoints, boolean slowStartLimited) {}
