package pewtercourse.decision;

/**
 * How much an endpoint that has just started may get.
 *
 * @param initialShare of its capacity right after its start
 * @param window microseconds until it has its whole capacity; 0: at once
 * @param overcommit how many times its present capacity it may be sent over the overload window
 */
public record SlowStart(double initialShare, long window, double overcommit) {}
