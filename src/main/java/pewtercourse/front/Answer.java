package pewtercourse.front;

import io.vertx.core.buffer.Buffer;

/**
 * The only and final answer to a client's request.
 *
 * @param tag the entity tag of the object, or null
 * @param pushbackMs how long the client should wait before it tries again; 0 for no advice
 */
public record Answer(Kind kind, Buffer body, String tag, long pushbackMs) {
    /** The outcome. {@code SAME}: the request is served, and the client's own copy is still valid. */
    public enum Kind {
        SERVED,
        SAME,
        REFUSED,
        FAILED
    }

    private static final Buffer EMPTY_BODY = Buffer.buffer();

    /** Serves the request with this body; {@code tag} may be null. */
    public static Answer served(Buffer body, String tag) {
        return new Answer(Kind.SERVED, body, tag, 0);
    }

    /** Serves the request by confirming the copy that the client has. */
    public static Answer same(String tag) {
        return new Answer(Kind.SAME, EMPTY_BODY, tag, 0);
    }

    /** Refuses the request for now. */
    public static Answer refused(long pushbackMs) {
        return new Answer(Kind.REFUSED, EMPTY_BODY, null, pushbackMs);
    }

    /** Reports that the request failed. */
    public static Answer failed() {
        return new Answer(Kind.FAILED, EMPTY_BODY, null, 0);
    }
}
