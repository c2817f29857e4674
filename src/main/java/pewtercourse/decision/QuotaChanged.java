package pewtercourse.decision;

/**
 * The quota that the routers have agreed on for endpoints in slow start: this router's, as a factor on an equal
 * share.
 */
public record QuotaChanged(double factor) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
