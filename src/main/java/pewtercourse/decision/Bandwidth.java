package pewtercourse.decision;

/**
 * Bandwidths in kilobytes a second, 0 where they are not known.
 *
 * @param clientKbPerSecond of one client's connection
 * @param fillLinkKbPerSecond of the link over which the own zone's caches are filled
 */
public record Bandwidth(double clientKbPerSecond, double fillLinkKbPerSecond) {}
