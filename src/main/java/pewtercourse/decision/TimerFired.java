package pewtercourse.decision;

/** A timer started by {@link StartTimer} has fired. */
public record TimerFired(String name) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
