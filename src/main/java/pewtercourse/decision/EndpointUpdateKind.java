package pewtercourse.decision;

/** How to interpret the endpoints of an {@link EndpointsChanged}. */
public enum EndpointUpdateKind {
    /** Only the endpoints that have changed. */
    DELTA,
    /** The complete list: endpoints missing from it are gone. */
    SNAPSHOT,
    /** The complete list as saved before a restart. */
    CACHED,
    /** No endpoints: the call failed. */
    FAILED
}
