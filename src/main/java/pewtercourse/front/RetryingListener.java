package pewtercourse.front;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pewtercourse.Log;

/**
 * A listening socket that goes on accepting a moment after a failed accept. By default Netty pauses for a second, while
 * clients that have connected wait for their answers.
 */
class RetryingListener extends NioServerSocketChannel {
    private static final long RETRY_MS = 5;

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
    protected int doReadMessages(List<Object> accepted) throws Exception {
        try {
            return acceptWaiting(accepted);
        } catch (IOException e) {
            if (!isOpen()) {
                throw e;
            }
            Log.counted("front.accept_error", "error", e, "retry_ms", RETRY_MS);
            config().setAutoRead(false);
            eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
            return 0;
        }
    }
}
