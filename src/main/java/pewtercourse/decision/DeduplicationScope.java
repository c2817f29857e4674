package pewtercourse.decision;

/** Which caches recognise a repeated idempotency key, seen from the cache that had the first attempt. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
