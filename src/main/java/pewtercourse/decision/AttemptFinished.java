package pewtercourse.decision;

/**
 * The end of one attempt.
 *
 * @param attempt number of the request's attempt, from 0
 * @param requestDone whether its client has its answer, or has gone
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
