package pewtercourse.decision;

/**
 * An attempt has ended.
 *
 * @param attempt index of the attempt within its request, from 0
 * @param latency duration of the attempt in microseconds
 * @param requestDone whether the client has received its answer or has disconnected
 */
public record AttemptFinished(
        long requestId,
        int attempt,
        long endpointId,
        AttemptOutcome outcome,
        long latency,
        boolean requestDone,
        CacheStatus cacheStatus)
        implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
