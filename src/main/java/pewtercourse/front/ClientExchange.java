package pewtercourse.front;

import java.util.function.Consumer;

/** One request of a client, to be answered at most once. */
@FunctionalInterface
public interface ClientExchange extends Consumer<Answer> {
    /**
     * Reads what the client has sent until now. If it has stopped waiting, the action that {@link RequestHandler#handle}
     * returned has run when this returns. Must not be called while requests are read.
     *
     * @return false if the client sends so much that it is not known whether it still waits
     */
    default boolean readArrived() {
        return true;
    }
}
