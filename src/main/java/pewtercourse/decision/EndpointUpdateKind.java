package pewtercourse.decision;

/** How the endpoints of an {@link EndpointsChanged} are to be read. */
public enum EndpointUpdateKind {
    /** Only what has changed. */
    DELTA,
    /** The whole list: what is missing has gone. */
    SNAPSHOT,
    /** The whole list as it was saved before a restart. */
    CACHED,
    /** None: the call failed. */
    FAILED
}
