package pewtercourse.decision;

/** The time of a {@link StartTimer} has come. */
public record TimerFired(String name) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
