package pewtercourse.decision;

/** Fails a request that may have taken effect but was not served. This is the final answer. */
public record FailRequest(long requestId) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
