package pewtercourse.decision;

/**
 * Limits on the work of an endpoint that has just started.
 *
 * @param initialShare share of its capacity that the endpoint has right after its start
 * @param window microseconds until the endpoint has its full capacity; 0: it has it at once
 * @param overcommit multiple of its current capacity that the endpoint may be sent over the overload window
 */
public record SlowStart(double initialShare, long window, double overcommit) {}
