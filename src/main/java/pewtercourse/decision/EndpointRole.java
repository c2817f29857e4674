package pewtercourse.decision;

/** The role of an endpoint. */
public enum EndpointRole {
    /** Answers clients. */
    CACHE,
    /** Fills the caches. */
    PARENT,
    /** Holds the content. */
    ORIGIN
}
