package pewtercourse.failover;

/**
 * A client's request for which a site is to be chosen.
 *
 * @param objectHash       hash of the object's name, by {@link pewtercourse.hash.StableHash}
 * @param priorityWeight   value of serving the request; over 0
 * @param serviceMicros    how long the response takes to send
 * @param objectiveMicros  latency objective of the request's class
 * @param deadline         time after which the response is useless
 * @param expectedMicros   how long the request takes in total if nothing goes wrong
 * @param unconditional    whether the request is never rejected here: only the origin can serve it and it must not be
 *                         sent twice
 * @param revalidation     whether the request refreshes a cached copy in the background; no client waits for it
 */
public record OverflowRequest(
        long objectHash,
        double priorityWeight,
        double serviceMicros,
        long objectiveMicros,
        long deadline,
        long expectedMicros,
        boolean unconditional,
        boolean revalidation) {
    /** Whether the request would miss its deadline even if nothing went wrong. */
    boolean tooLate(long now) {
        return now + expectedMicros > deadline;
    }
}
