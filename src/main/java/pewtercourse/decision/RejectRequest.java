package pewtercourse.decision;

/**
 * Rejects a request that had no effect or may safely be repeated.
 *
 * @param retryAfter microseconds after which the client should retry; 0 for no advice
 */
public record RejectRequest(long requestId, long retryAfter) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
