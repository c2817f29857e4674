package pewtercourse.front.fastcgi;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** The first half of a lingering close: the output is shut, the input is still read. */
final class GracefulClose {
    private GracefulClose() {}

    /** Sends the end of the stream behind all that was written; the socket stays open for reading. */
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
