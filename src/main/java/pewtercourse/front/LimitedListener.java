package pewtercourse.front;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pewtercourse.Log;

/**
 * A listening socket that limits the number of its open connections. Vert.x accepts on a thread of its own: without the
 * limit, clients could use up the descriptors that the control feed and the caches need while the event loop is busy, as it
 * is at a start. Connections over the limit wait in the accept queue until the event loop has closed others: a request may
 * have arrived on them.
 */
public class LimitedListener extends RetryingListener {
    // The JDK releases the descriptor of a closed socket only in the next run of its selector.
    private static final long DESCRIPTOR_RELEASE_MS = 5;

    private final int maxConnections;
    private final AtomicInteger openConnections = new AtomicInteger();

    /** Creates a listener on a new socket. */
    public LimitedListener(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Creates a listener on an existing socket. */
    public LimitedListener(ServerSocketChannel socket, int maxConnections) {
        super(socket);
        this.maxConnections = maxConnections;
    }

    @Override
    boolean hasCapacity() {
        int open = openConnections.get();
        if (open >= maxConnections) {
            Log.counted("front.no_descriptor", "connections", open);
        }
        return open < maxConnections;
    }

    @Override
    void onAccepted(Channel connection) {
        openConnections.incrementAndGet();
        connection.closeFuture().addListener(closed -> onChannelClosed(connection.eventLoop()));
    }

    private void onChannelClosed(EventLoop eventLoop) {
        if (!eventLoop.isShuttingDown()) {
            eventLoop.schedule(openConnections::decrementAndGet, DESCRIPTOR_RELEASE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
