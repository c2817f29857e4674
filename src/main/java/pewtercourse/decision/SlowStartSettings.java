package pewtercourse.decision;

/**
 * Slow start by role.
 *
 * @param overloadWindow microseconds over which work is summed: an endpoint breaks down if it gets more work
 *     than it can handle in any such window; 0: no limit
 */
public record SlowStartSettings(SlowStart cache, SlowStart parent, long overloadWindow) {
    SlowStart forRole(EndpointRole role) {
        return role == EndpointRole.CACHE ? cache : parent;
    }
}
