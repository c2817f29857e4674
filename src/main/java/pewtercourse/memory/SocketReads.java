package pewtercourse.memory;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Stops the reading of a socket at once. After {@link NetSocket#pause} the library reads on until its own queue is full,
 * which may be a megabyte that nobody counts.
 */
public final class SocketReads {
    private static final int MIN_PIECE_BYTES = 512;
    private static final int INITIAL_PIECE_BYTES = 2 * 1024;

    private SocketReads() {}

    /** Limits the bytes that are read from the socket in one piece. */
    public static void limitPieces(NetSocket socket, int maxBytes) {
        if (socket instanceof NetSocketInternal internal) {
            internal.channelHandlerContext()
                    .channel()
                    .config()
                    .setRecvByteBufAllocator(
                            new AdaptiveRecvByteBufAllocator(MIN_PIECE_BYTES, INITIAL_PIECE_BYTES, maxBytes));
        }
    }

    /** Reads nothing more from the socket; a close by the peer is not seen either. */
    public static void pause(NetSocket socket) {
        if (socket instanceof NetSocketInternal internal) {
            internal.channelHandlerContext().channel().config().setAutoRead(false);
        } else {
            socket.pause();
        }
    }

    /** Reads on. */
    public static void resume(NetSocket socket) {
        if (socket instanceof NetSocketInternal internal) {
            internal.channelHandlerContext().channel().config().setAutoRead(true);
        } else {
            socket.resume();
        }
    }
}
