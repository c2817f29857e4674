package pewtercourse.front;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pewtercourse.Log;

/**
 * A listening socket that limits the number of its open connections. Vert.x accepts on a thread of its own: without the
 * limit, clients could use up the descriptors that the control feed and the caches need while the event loop is busy, as it
 * is at a start. Connections over the limit are closed unread.
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
    int acceptWaiting(List<Object> accepted) throws Exception {
        if (openConnections.get() >= maxConnections) {
            rejectNextConnection();
            return 0;
        }
        int sizeBefore = accepted.size();
        int acceptedCount = super.acceptWaiting(accepted);
        for (Object child : accepted.subList(sizeBefore, accepted.size())) {
            openConnections.incrementAndGet();
            Channel channel = (Channel) child;
            channel.closeFuture().addListener(closed -> onChannelClosed(channel.eventLoop()));
        }
        return acceptedCount;
    }

    private void onChannelClosed(EventLoop eventLoop) {
        if (!eventLoop.isShuttingDown()) {
            eventLoop.schedule(openConnections::decrementAndGet, DESCRIPTOR_RELEASE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void rejectNextConnection() throws Exception {
        SocketChannel connection = javaChannel().accept();
        if (connection != null) {
            connection.close();
            Log.counted("front.no_descriptor", "connections", openConnections.get());
        }
    }
}
