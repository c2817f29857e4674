package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * A request of a connection, from its BEGIN_REQUEST to its answer or abort: what has come of it, and how far it has got.
 * Confined to the event loop.
 */
final class OpenRequest {
    /** The objects of an open request, apart from its parameters and its body. */
    private static final long OBJECT_BYTES = 2_048;

    final int id;
    final boolean keepConnection;
    Buffer params = Buffer.buffer();
    Buffer body = Buffer.buffer();
    boolean paramsEnded;
    boolean isComplete;
    boolean isHandedOver;
    long timer = -1;
    long arrivedAtMicros;
    Runnable onClientGone;

    OpenRequest(int id, boolean keepConnection) {
        this.id = id;
        this.keepConnection = keepConnection;
    }

    /** Adds the content of a record; returns all that has come of its stream. */
    Buffer append(Record record) {
        if (record.type() == Record.PARAMS) {
            params = joined(params, record.content());
            return params;
        }
        body = joined(body, record.content());
        return body;
    }

    // What comes in one record, as most streams do, is not copied.
    private static Buffer joined(Buffer collected, Buffer content) {
        return collected.length() == 0 ? content : collected.appendBuffer(content);
    }

    /** Hands the parameters out; they are held no longer. */
    Buffer takeParams() {
        Buffer taken = params;
        params = Buffer.buffer();
        return taken;
    }

    /** Drops what has come. */
    void dropContent() {
        params = Buffer.buffer();
        body = Buffer.buffer();
    }

    /** The memory that the request holds. */
    long heldBytes() {
        return OBJECT_BYTES + capacity(params) + capacity(body);
    }

    // A buffer that grows takes up to twice what it holds.
    private static int capacity(Buffer buffer) {
        return ((BufferInternal) buffer).getByteBuf().capacity();
    }
}
