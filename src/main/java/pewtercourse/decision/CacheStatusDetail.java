package pewtercourse.decision;

/** How much the caches report about where an answer came from. */
public enum CacheStatusDetail {
    NONE,
    /** Only whether the answer was a hit. */
    HITS,
    ALL
}
