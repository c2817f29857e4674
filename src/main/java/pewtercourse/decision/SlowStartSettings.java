package pewtercourse.decision;

/**
 * Slow start by role.
 *
 * @param overloadWindow microseconds over which work is summed up: more than an endpoint bears in any such span topples it;
 *     0: no limit
 */
public record SlowStartSettings(SlowStart cache, SlowStart parent, long overloadWindow) {
    SlowStart of(EndpointRole role) {
        return role == EndpointRole.CACHE ? cache : parent;
    }
}
