package pewtercourse.decision;

/** How much the caches tell of where an answer came from. */
public enum CacheStatusDetail {
    NONE,
    /** Only whether it was a hit. */
    HITS,
    ALL
}
