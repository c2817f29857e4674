package pewtercourse.decision;

/** New settings. A class keeps its place, so that requests under way keep their class. */
public record SettingsChanged(RouterSettings settings) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
