package pewtercourse.decision;

/** Cancels one attempt. Its end is reported by an {@link AttemptFinished}, like that of any other attempt. */
public record CancelAttempt(long requestId, int attempt) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
