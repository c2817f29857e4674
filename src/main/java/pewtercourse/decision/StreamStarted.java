package pewtercourse.decision;

/** The first bytes of an answer are being sent to the client. */
public record StreamStarted(long requestId, int attempt) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
