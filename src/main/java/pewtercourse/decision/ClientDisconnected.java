package pewtercourse.decision;

/** The client has closed its connection or withdrawn its request. */
public record ClientDisconnected(long requestId) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
