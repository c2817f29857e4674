package pewtercourse.decision;

/** What sending a request a second time does. */
public enum Idempotency {
    /** Nothing: the request has no effect (a read). */
    SAFE,
    /** Nothing at those caches that remember its idempotency key; see {@link DeduplicationScope}. */
    IDEMPOTENCY_KEY,
    /** Its effect happens once more. */
    NON_IDEMPOTENT
}
