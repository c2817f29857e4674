package pewtercourse.front;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pewtercourse.Log;

/**
 * A listening socket with a bound on the connections that are open on it. The library accepts on a thread of its own:
 * while the event loop is busy, as at a start, clients could else use up the descriptors that the control feed and the
 * caches need. Past the bound a connection is closed unread.
 */
public class LimitedListener extends NioServerSocketChannel {
    // The JDK gives a closed socket's descriptor back when its selector has turned once more.
    private static final long FREED_MS = 5;

    private final int most;
    private final AtomicInteger open = new AtomicInteger();

    public LimitedListener(int most) {
        this.most = most;
    }

    public LimitedListener(ServerSocketChannel socket, int most) {
        super(socket);
        this.most = most;
    }

    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
        if (open.get() >= most) {
            closeNext();
            return 0;
        }
        int before = into.size();
        int read = super.doReadMessages(into);
        for (Object accepted : into.subList(before, into.size())) {
            open.incrementAndGet();
            Channel channel = (Channel) accepted;
            channel.closeFuture().addListener(closed -> freed(channel.eventLoop()));
        }
        return read;
    }

    private void freed(EventLoop loop) {
        if (!loop.isShuttingDown()) {
            loop.schedule(open::decrementAndGet, FREED_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeNext() throws Exception {
        SocketChannel next = javaChannel().accept();
        if (next != null) {
            next.close();
            Log.counted("front.no_descriptor", "connections", open.get());
        }
    }
}
