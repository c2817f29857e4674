package pewtercourse.decision;

/**
 * A client's request.
 *
 * @param requestClass index of its class in the settings
 * @param purgeGroup with which its object can be purged
 * @param sizeKb 0 if not told
 * @param clientRetry whether the client marked it as its own retry
 */
public record RequestArrived(
        long requestId,
        int requestClass,
        String object,
        int segment,
        int purgeGroup,
        double sizeKb,
        long expiresAt,
        boolean clientRetry,
        boolean write)
        implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
