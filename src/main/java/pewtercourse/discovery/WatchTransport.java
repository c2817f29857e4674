package pewtercourse.discovery;

import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;

/** Opens connections to the control feed. */
interface WatchTransport {
    /** Receives the events of one connection, in this order: connected, bytes received, disconnected. */
    interface Listener {
        /** Called when the feed has accepted the watch. */
        void connected();

        /** Called with the next bytes of the event stream, which may end anywhere in an event. */
        void received(Buffer bytes);

        /** Called when the connection has ended or could not be opened; may be called more than once. */
        void disconnected(String reason);
    }

    /** A connection that is open or being opened. */
    interface Connection {
        /** Closes the connection, even while it is being opened. */
        void close();
    }

    /**
     * Opens a connection and requests the events after event {@code lastEvent}. The listener may be called before this
     * method returns.
     */
    Connection open(InetSocketAddress feed, long lastEvent, Listener listener);
}
