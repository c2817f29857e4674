package pewtercourse.decision;

/** Cancels one attempt; its end is told as for every other. */
public record CancelAttempt(long requestId, int attempt) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
