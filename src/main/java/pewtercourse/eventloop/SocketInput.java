package pewtercourse.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.AttributeKey;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** Access to what a socket has received. Used on the event loop of the socket. */
public final class SocketInput {
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
     * Reads what has arrived and is not read yet, and handles it before this returns. Must not be called while the same
     * socket is read.
     *
     * @return whether the socket is still open
     */
    public static boolean readArrived(NetSocket socket) {
        Channel channel = channelOf(socket);
        if (channel == null) {
            return true;
        }
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        return channel.isActive();
    }

    private static Channel channelOf(NetSocket socket) {
        return socket instanceof NetSocketInternal internal
                ? internal.channelHandlerContext().channel()
                : null;
    }
}
