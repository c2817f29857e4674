package pewtercourse.decision;

/**
 * One class of requests. Times are microseconds.
 *
 * @param deduplicationScope where a repeated idempotency key is recognised
 * @param idempotencyWindow how long a key is remembered
 * @param latencyObjective within which an answer is in time, besides its transfer
 * @param transferAllowance multiple of the transfer time that is added to the objective
 * @param deadline after which nobody waits any more
 * @param streaming whether clients are served while the answer still comes in
 * @param freshnessLifetime how long a copy is fresh; 0: until it is purged
 * @param segmented whether objects are asked for in segments
 * @param uncacheable whether only the origin can answer
 */
public record RequestClass(
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long idempotencyWindow,
        long latencyObjective,
        double transferAllowance,
        long deadline,
        boolean streaming,
        long freshnessLifetime,
        boolean segmented,
        boolean uncacheable) {
    /** Whether a repeat has no effect. */
    public boolean isSafe() {
        return idempotency == Idempotency.SAFE;
    }

    /** The same with another freshness lifetime. */
    public RequestClass withFreshnessLifetime(long lifetime) {
        return new RequestClass(
                idempotency,
                deduplicationScope,
                idempotencyWindow,
                latencyObjective,
                transferAllowance,
                deadline,
                streaming,
                lifetime,
                segmented,
                uncacheable);
    }
}
