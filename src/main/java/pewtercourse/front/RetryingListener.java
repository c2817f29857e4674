package pewtercourse.front;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pewtercourse.Log;
import pewtercourse.eventloop.ArrivalTracker;
import pewtercourse.eventloop.EventLoopTurns;
import pewtercourse.eventloop.SocketInput;

/**
 * A listening socket that goes on accepting a moment after a failed accept. By default Netty pauses for a second, while
 * clients that have connected wait for their answers. Each accepted connection carries the last time at which none was
 * waiting ({@link SocketInput#setAcceptQueueEmptyAt}).
 */
class RetryingListener extends NioServerSocketChannel {
    private static final long RETRY_MS = 5;

    private final long createdNanos = System.nanoTime();
    private ArrivalTracker arrivals; // Of connections; created when the listener begins to accept.

    /** Creates a listener on a new socket. */
    RetryingListener() {}

    /** Creates a listener on an existing socket. */
    RetryingListener(ServerSocketChannel socket) {
        super(socket);
    }

    /** Accepts connections that are waiting; returns how many were added to {@code accepted}. */
    int acceptWaiting(List<Object> accepted) throws Exception {
        return super.doReadMessages(accepted);
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (arrivals == null) {
            arrivals = new ArrivalTracker(EventLoopTurns.current(), System::nanoTime, createdNanos);
        }
        super.doBeginRead();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        arrivals.beginReads();
        long beganNanos = System.nanoTime();
        try {
            int sizeBefore = accepted.size();
            int count = acceptWaiting(accepted);
            if (count == 0) {
                arrivals.recordEmptyAt(beganNanos);
            }
            for (Object connection : accepted.subList(sizeBefore, accepted.size())) {
                SocketInput.setAcceptQueueEmptyAt((Channel) connection, arrivals.emptyAtNanos());
            }
            return count;
        } catch (IOException e) {
            if (!isOpen()) {
                throw e;
            }
            Log.counted("front.accept_error", "error", e, "retry_ms", RETRY_MS);
            config().setAutoRead(false);
            arrivals.pause();
            eventLoop().schedule(this::acceptAgain, RETRY_MS, TimeUnit.MILLISECONDS);
            return 0;
        }
    }

    private void acceptAgain() {
        arrivals.resume();
        config().setAutoRead(true);
    }
}
