package pewtercourse.decision;

/**
 * Where an answer came from, or why a cache could not fill. The simulator identifies the constants by their
 * order, which therefore must not change.
 */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    FILLED,
    FILLED_FROM_ORIGIN,
    /** Served by the fill of another request for the same object. */
    COALESCED,
    STALE,
    SOURCE_REJECTED,
    SOURCE_FAILED,
    /** The source did not hold the object and was not allowed to fetch it. */
    SOURCE_MISS,
    FILL_LIMIT_REACHED,
    ORIGIN_FAILED;

    /** Whether the attempt failed at the source of the fill rather than at the cache. */
    boolean isSourceFault() {
        return compareTo(SOURCE_REJECTED) >= 0 && this != FILL_LIMIT_REACHED;
    }
}
