package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;

/** Opens the control feed. */
interface FeedTransport {
    /** What is heard on one connection, in this order: it is up, its bytes, its end. */
    interface Listener {
        void up();

        void bytes(Buffer bytes);

        void ended(String why);
    }

    /** Asks for the events after {@code last}; returns what closes the connection. */
    Runnable follow(InetSocketAddress feed, long last, Listener to);
}
