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
 * clients that have connected wait for their answers. A subclass may leave connections in the accept queue for a while. Each
 * accepted connection carries the last time at which none was
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

    /** Whether a connection may be accepted now. */
    boolean hasCapacity() {
        return true;
    }

    /** A connection was accepted. */
    void onAccepted(Channel connection) {}

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
        if (!hasCapacity()) {
            pauseAccepting();
            return 0;
        }
        try {
            return acceptWaiting(accepted);
        } catch (IOException e) {
            if (!isOpen()) {
                throw e;
            }
            Log.counted("front.accept_error", "error", e, "retry_ms", RETRY_MS);
            pauseAccepting();
            return 0;
        }
    }

    private int acceptWaiting(List<Object> accepted) throws Exception {
        long beganNanos = System.nanoTime();
        int sizeBefore = accepted.size();
        int count = super.doReadMessages(accepted);
        if (count == 0) {
            arrivals.recordEmptyAt(beganNanos);
        }
        for (Object child : accepted.subList(sizeBefore, accepted.size())) {
            Channel connection = (Channel) child;
            SocketInput.setAcceptQueueEmptyAt(connection, arrivals.emptyAtNanos());
            onAccepted(connection);
        }
        return count;
    }

    private void pauseAccepting() {
        config().setAutoRead(false);
        arrivals.pause();
        eventLoop().schedule(this::acceptAgain, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void acceptAgain() {
        arrivals.resume();
        config().setAutoRead(true);
    }
}
