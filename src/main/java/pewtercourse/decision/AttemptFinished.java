package pewtercourse.decision;

/**
 * An attempt has ended.
 *
 * @param attempt index of the attempt within its request, from 0
 * @param latency duration of the attempt in microseconds
 * @param requestDone whether the client has received its answer or has disconnected
 * @param bodyTransferred whether the endpoint has sent the whole object
 */
public record AttemptFinished(
        long requestId,
        int attempt,
        long endpointId,
        AttemptOutcome outcome,
        long latency,
        boolean requestDone,
        CacheStatus cacheStatus,
        boolean bodyTransferred)
        implements RouterEvent {
    /** Creates the event of an attempt that has transferred the object if it was successful. */
    public AttemptFinished(
            long requestId,
            int attempt,
            long endpointId,
            AttemptOutcome outcome,
            long latency,
            boolean requestDone,
            CacheStatus cacheStatus) {
        this(requestId, attempt, endpointId, outcome, latency, requestDone, cacheStatus, outcome == AttemptOutcome.OK);
    }

    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
