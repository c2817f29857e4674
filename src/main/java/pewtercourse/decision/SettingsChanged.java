package pewtercourse.decision;

/** The settings have changed. Each class keeps its index, so that requests in progress keep their class. */
public record SettingsChanged(RouterSettings settings) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
