package pewtercourse.decision;

/** The final answer to a request that may have run and was not served. */
public record FailRequest(long requestId) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
