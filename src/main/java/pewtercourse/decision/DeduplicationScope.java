package pewtercourse.decision;

/** Which caches recognise a repeated idempotency key, relative to the cache that received the first attempt. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
