package pewtercourse.decision;

/**
 * One class of requests. Durations are in microseconds.
 *
 * @param deduplicationScope which caches recognise a repeated idempotency key
 * @param idempotencyWindow how long a cache remembers an idempotency key
 * @param latencyObjective maximum latency of a timely answer, without its transfer
 * @param transferAllowance multiple of the transfer time that is added to the objective
 * @param deadline time after which no client waits any more
 * @param streaming whether clients receive an answer while it is still coming in
 * @param freshnessLifetime how long a copy is fresh; 0: until it is purged
 * @param segmented whether objects are requested in segments
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
    /** Whether sending the request again has no further effect. */
    public boolean isSafe() {
        return idempotency == Idempotency.SAFE;
    }

    /** Returns a copy of this class with another freshness lifetime. */
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
