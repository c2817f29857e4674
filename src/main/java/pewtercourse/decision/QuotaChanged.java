package pewtercourse.decision;

/**
 * The routers have agreed on new quotas for endpoints in slow start.
 *
 * @param factor quota of this router, as a multiple of an equal share
 */
public record QuotaChanged(double factor) implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
