package pewtercourse.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.AttributeKey;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.function.BooleanSupplier;

/** Access to what a socket has received. Used on the event loop of the socket. */
public final class SocketInput {
    // Bounds the time that one peer takes which sends without a pause.
    private static final int MAX_READS = 64;

    private static final AttributeKey<Long> ACCEPT_QUEUE_EMPTY_AT = AttributeKey.valueOf("acceptQueueEmptyAt");

    private SocketInput() {}

    /** Records on an accepted channel the last time at which the listener's queue was known to be empty. */
    public static void setAcceptQueueEmptyAt(Channel accepted, long nanos) {
        accepted.attr(ACCEPT_QUEUE_EMPTY_AT).set(nanos);
    }

    /** Begins to track when the bytes of a socket that has just been accepted arrive. */
    public static ArrivalTracker trackArrivals(NetSocket socket) {
        Channel channel = channelOf(socket);
        Long queueEmptyAt =
                channel == null ? null : channel.attr(ACCEPT_QUEUE_EMPTY_AT).get();
        ArrivalTracker arrivals = new ArrivalTracker(
                EventLoopTurns.current(), System::nanoTime, queueEmptyAt == null ? System.nanoTime() : queueEmptyAt);
        if (channel != null) {
            channel.config().setRecvByteBufAllocator(new TrackedReads(arrivals));
        }
        return arrivals;
    }

    /**
     * Reads what has arrived and is not read yet, until the socket is empty, and handles it before this returns. The end of
     * the peer may stand behind any number of bytes. Must not be called while the same socket is read.
     *
     * @param mayRead whether the next piece may be read; evaluated before each
     * @return whether the socket is still open
     */
    public static boolean readArrived(NetSocket socket, BooleanSupplier mayRead) {
        Channel channel = channelOf(socket);
        if (channel == null) {
            return true;
        }
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            boolean foundBytes = true;
            for (int i = 0; i < MAX_READS && foundBytes && channel.isActive() && mayRead.getAsBoolean(); i++) {
                unsafe.read();
                foundBytes = unsafe.recvBufAllocHandle().lastBytesRead() > 0;
            }
        }
        return channel.isActive();
    }

    private static Channel channelOf(NetSocket socket) {
        return socket instanceof NetSocketInternal internal
                ? internal.channelHandlerContext().channel()
                : null;
    }
}
