package pewtercourse.failover;

/**
 * A client's request for which a site is to be chosen.
 *
 * @param objectHash       of its object's name, by {@link pewtercourse.hash.StableHash}
 * @param priorityWeight   what serving it is worth; over 0
 * @param serviceMicros    how long its response takes to send
 * @param objectiveMicros  latency objective of its class
 * @param deadline         when its response is of no more use
 * @param expectedMicros   how long it takes in all if nothing goes wrong
 * @param unconditional    only the origin can serve it and it may not be sent twice: it is never rejected here
 * @param revalidation     refreshes a cached copy in the background: no client waits for it
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
    /** Whether it could not be served in time even if nothing went wrong. */
    boolean tooLate(long now) {
        return now + expectedMicros > deadline;
    }
}
