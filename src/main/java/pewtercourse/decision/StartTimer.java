package pewtercourse.decision;

/** Asks for a {@link TimerFired} of this name at this time. */
public record StartTimer(String name, long dueAt) implements RouterAction {
    @Override
    public void accept(RouterActionVisitor visitor) {
        visitor.visit(this);
    }
}
