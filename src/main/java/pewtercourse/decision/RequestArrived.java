package pewtercourse.decision;

/**
 * A client's request.
 *
 * @param requestClass index of the request's class in the settings
 * @param object name of the requested object
 * @param segment index of the requested segment of the object
 * @param purgeGroup group of objects in which the requested object can be purged
 * @param sizeKb size of the answer in kilobytes, 0 if unknown
 * @param expiresAt time at which the client stops waiting
 * @param clientRetry whether the client marked the request as a retry
 * @param idempotencyKey the client's key, by which caches drop a repeat; null if the client sent none
 * @param write whether the request changes the object
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
        String idempotencyKey,
        boolean write)
        implements RouterEvent {
    @Override
    public void accept(RouterEventVisitor visitor) {
        visitor.visit(this);
    }
}
