package pewtercourse.decision;

/**
 * Where an answer came from, or why a cache could not fill. The order of the constants is fixed: the simulator numbers them.
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
    /** The source did not hold the object and was not to fetch it. */
    SOURCE_MISS,
    FILL_LIMIT_REACHED,
    ORIGIN_FAILED;

    /** Whether the attempt failed at the source of the fill and not at the cache. */
    boolean isSourceFault() {
        return compareTo(SOURCE_REJECTED) >= 0 && this != FILL_LIMIT_REACHED;
    }
}
