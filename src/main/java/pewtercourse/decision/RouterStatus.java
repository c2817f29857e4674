package pewtercourse.decision;

/**
 * The part of a router's state that operators may see.
 *
 * @param ejectedEndpoints number of listed endpoints that currently get no requests because they failed
 * @param slowStartLimited whether an endpoint in slow start recently had no budget left for a request
 */
public record RouterStatus(int ejectedEndpoints, boolean slowStartLimited) {}
