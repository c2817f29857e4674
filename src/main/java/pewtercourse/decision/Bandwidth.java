package pewtercourse.decision;

/**
 * Bandwidths in kilobytes per second; 0 if unknown.
 *
 * @param clientKbPerSecond bandwidth of one client's connection
 * @param fillLinkKbPerSecond bandwidth of the link over which the caches of the router's zone are filled
 */
public record Bandwidth(double clientKbPerSecond, double fillLinkKbPerSecond) {}
