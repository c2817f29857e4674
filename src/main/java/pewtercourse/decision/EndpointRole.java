package pewtercourse.decision;

/** What an endpoint is for. */
public enum EndpointRole {
    /** Answers clients. */
    CACHE,
    /** Fills the caches. */
    PARENT,
    /** Holds the content. */
    ORIGIN
}
