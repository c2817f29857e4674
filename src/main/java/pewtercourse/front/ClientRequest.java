package pewtercourse.front;

import io.vertx.core.buffer.Buffer;

/**
 * A client's request, whatever protocol it came by. {@code takenAt} is the clock (microseconds) at its last
 * byte, {@code deadlineMs} how long the client waits from then on, {@code known} the tag of a copy that the
 * client holds, or null.
 */
public record ClientRequest(
        String id,
        String className,
        String object,
        int part,
        int group,
        double sizeKb,
        String known,
        Buffer body,
        long takenAt,
        double deadlineMs) {}
