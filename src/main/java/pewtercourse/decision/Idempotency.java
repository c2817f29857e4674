package pewtercourse.decision;

/** The effect of sending a request a second time. */
public enum Idempotency {
    /** None: the request has no effect (a read). */
    SAFE,
    /**
     * None at caches that remember the request's idempotency key; see {@link DeduplicationScope}. A request of such a class
     * that came without a key is {@link #NON_IDEMPOTENT}.
     */
    IDEMPOTENCY_KEY,
    /** The request takes effect once more. */
    NON_IDEMPOTENT
}
