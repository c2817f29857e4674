package pewtercourse.decision;

/**
 * Rejects a request that had no effect.
 *
 * @param retryAfter microseconds; 0: no advice when to come again
 */
public record RejectRequest(long requestId, long retryAfter) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
