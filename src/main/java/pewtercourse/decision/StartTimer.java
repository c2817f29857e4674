package pewtercourse.decision;

/** Requests a {@link TimerFired} with this name at {@code dueAt}. */
public record StartTimer(String name, long dueAt) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
