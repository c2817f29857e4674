package pewtercourse.front;

import io.vertx.core.buffer.Buffer;

/** The one final answer to a client. {@code holdOffMs} 0: no advice when to come again. */
public record Answer(Kind kind, Buffer body, String tag, long holdOffMs) {
    /** {@code SAME}: served, by telling the client that its own copy holds. */
    public enum Kind {
        SERVED,
        SAME,
        REFUSED,
        FAILED
    }

    private static final Buffer NOTHING = Buffer.buffer();

    public static Answer served(Buffer body, String tag) {
        return new Answer(Kind.SERVED, body, tag, 0);
    }

    public static Answer same(String tag) {
        return new Answer(Kind.SAME, NOTHING, tag, 0);
    }

    public static Answer refused(long holdOffMs) {
        return new Answer(Kind.REFUSED, NOTHING, null, holdOffMs);
    }

    public static Answer failed() {
        return new Answer(Kind.FAILED, NOTHING, null, 0);
    }
}
