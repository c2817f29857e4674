package pewtercourse.front;

import io.vertx.core.buffer.Buffer;

/**
 * A client's complete request, independent of the protocol.
 *
 * @param knownTag the tag of a copy that the client has, or null
 * @param idempotencyKey the same for all tries of one operation, or null; printable ASCII without blanks
 * @param clientRetry whether the client marked the request as a retry of an earlier one
 * @param arrivedAtMicros the clock in microseconds at the earliest time at which the last byte may have arrived; it may have
 *     waited in the socket until it was read
 * @param deadlineMs how long the client waits for the answer from then on
 */
public record ClientRequest(
        String id,
        String className,
        String object,
        int part,
        int group,
        double sizeKb,
        String knownTag,
        String idempotencyKey,
        boolean clientRetry,
        Buffer body,
        long arrivedAtMicros,
        double deadlineMs) {
    private static final Buffer NO_BODY = Buffer.buffer();

    /** The same request without the bytes of its body. */
    public ClientRequest withoutBody() {
        return new ClientRequest(
                id,
                className,
                object,
                part,
                group,
                sizeKb,
                knownTag,
                idempotencyKey,
                clientRetry,
                NO_BODY,
                arrivedAtMicros,
                deadlineMs);
    }
}
