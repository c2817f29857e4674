package pewtercourse.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Sizes the reads of a socket and reports them to its {@link ArrivalTracker}. A socket that is ready is read until nothing is
 * left, or a limit of reads is reached: a short read alone does not show that it is empty. Once the sockets have been read
 * much in one poll, a full read is the last one of its socket until the next poll, so that the others have their turn.
 */
final class TrackedReads implements RecvByteBufAllocator {
    private static final int MAX_READS_PER_POLL = 4;
    private static final int MIN_PIECE_BYTES = 512;
    private static final int INITIAL_PIECE_BYTES = 8 * 1024;
    // What is read at once must be held until it is handled, by each of hundreds of connections.
    private static final int MAX_PIECE_BYTES = 16 * 1024;

    private final ArrivalTracker arrivals;
    private final RecvByteBufAllocator sizes;

    TrackedReads(ArrivalTracker arrivals) {
        this.arrivals = arrivals;
        AdaptiveRecvByteBufAllocator adaptive =
                new AdaptiveRecvByteBufAllocator(MIN_PIECE_BYTES, INITIAL_PIECE_BYTES, MAX_PIECE_BYTES);
        adaptive.respectMaybeMoreData(false);
        adaptive.maxMessagesPerRead(MAX_READS_PER_POLL);
        this.sizes = adaptive;
    }

    @Override
    @SuppressWarnings("deprecation") // The interface declares only this one.
    public Handle newHandle() {
        return new TrackedHandle(sizes.newHandle());
    }

    private final class TrackedHandle extends DelegatingHandle {
        private long readBeganNanos;

        TrackedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public void reset(ChannelConfig config) {
            arrivals.beginReads();
            super.reset(config);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            readBeganNanos = System.nanoTime();
            return super.allocate(allocator);
        }

        @Override
        public void lastBytesRead(int bytes) {
            if (bytes == 0) {
                arrivals.recordEmptyAt(readBeganNanos);
            } else if (bytes > 0) {
                arrivals.recordRead(bytes);
            }
            super.lastBytesRead(bytes);
        }

        @Override
        public boolean continueReading() {
            return super.continueReading() && (!isFull() || arrivals.mayReadMore());
        }

        private boolean isFull() {
            return lastBytesRead() >= attemptedBytesRead();
        }
    }
}
