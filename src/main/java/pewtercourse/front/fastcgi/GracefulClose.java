package pewtercourse.front.fastcgi;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** Performs the first half of a lingering close: the output is shut down, the input is still read. */
final class GracefulClose {
    private GracefulClose() {}

    /** Ends the output after everything that was written; the socket stays open for reading. */
    static void shutOutput(NetSocket socket) {
        if (socket instanceof NetSocketInternal s
                && s.channelHandlerContext().channel() instanceof DuplexChannel channel) {
            socket.write(Buffer.buffer()).onComplete(written -> shutOutput(channel));
        } else {
            socket.end();
        }
    }

    private static void shutOutput(Channel channel) {
        if (channel.isActive()) {
            ((DuplexChannel) channel).shutdownOutput();
        }
    }
}
