package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;

/** Opens connections to the control feed. */
interface WatchTransport {
    /** Is called with what happens on one connection, in this order: connected, bytes received, disconnected. */
    interface Listener {
        /** The feed has accepted the watch. */
        void connected();

        /** The next bytes of the event stream, cut anywhere. */
        void received(Buffer bytes);

        /** The connection has ended, or could not be opened; may be called more than once. */
        void disconnected(String reason);
    }

    /** A connection that is open, or being opened. */
    interface Connection {
        /** Closes it, also while it is still being opened. */
        void close();
    }

    /**
     * Opens a connection and asks for the events that follow event {@code lastEvent}. The listener may be called before
     * this returns.
     */
    Connection open(InetSocketAddress feed, long lastEvent, Listener listener);
}
