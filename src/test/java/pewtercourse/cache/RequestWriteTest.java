package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RequestWriteTest {
    private static final int BODY_BYTES = 48_000;
    private static final long LONG_PREPARATION_MS = 20;
    private static final CacheRequest REQUEST = new CacheRequest(
            "9b1f",
            "page",
            "7f3a",
            0,
            null,
            Buffer.buffer(new byte[BODY_BYTES]),
            null,
            0,
            0,
            false,
            false,
            false,
            null);

    /** A socket that takes a limited number of bytes at a time. */
    private static final class LimitedChannel implements WritableByteChannel {
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
        int capacity;

        LimitedChannel(int capacity) {
            this.capacity = capacity;
        }

        @Override
        public int write(ByteBuffer source) {
            byte[] taken = new byte[Math.min(capacity, source.remaining())];
            source.get(taken);
            received.writeBytes(taken);
            return taken.length;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    private static final class ExpiringCheck implements WriteCheck {
        OptionalLong timeoutMs;

        ExpiringCheck(long timeoutMs) {
            this.timeoutMs = OptionalLong.of(timeoutMs);
        }

        @Override
        public boolean mayWrite() {
            return true;
        }

        @Override
        public OptionalLong timeoutMs() {
            return timeoutMs;
        }
    }

    /** The bytes of an encoded request with a time limit, as they leave on the socket. */
    static String written(CacheRequest.Encoded encoded, long timeoutMs) {
        LimitedChannel channel = new LimitedChannel(Integer.MAX_VALUE);
        RequestWrite write = new RequestWrite(ByteBufAllocator.DEFAULT, encoded, new ExpiringCheck(timeoutMs));
        try {
            write.transferTo(channel, 0);
        } catch (IOException e) {
            throw new AssertionError(e);
        } finally {
            write.release();
        }
        return channel.received.toString(StandardCharsets.UTF_8);
    }

    @Test
    void writesTheSameBytesInPiecesAsAtOnce() throws Exception {
        for (long timeoutMs : new long[] {1, 60_000, Long.MAX_VALUE}) {
            LimitedChannel channel = new LimitedChannel(1_000);
            RequestWrite write =
                    new RequestWrite(ByteBufAllocator.DEFAULT, REQUEST.encode("h"), new ExpiringCheck(timeoutMs));
            while (write.transferred() < write.count()) {
                write.transferTo(channel, write.transferred());
            }
            write.release();
            assertEquals(written(REQUEST.encode("h"), timeoutMs), channel.received.toString(StandardCharsets.UTF_8));
            assertTrue(channel.received.toString(StandardCharsets.UTF_8).contains("Timeout-Ms: " + timeoutMs + "\r\n"));
        }
    }

    // Guards against a time limit that was computed before a stop of the process.
    @Test
    void consultsTheCheckAgainIfThePreparationTookLong() throws Exception {
        LimitedChannel channel = new LimitedChannel(Integer.MAX_VALUE);
        WriteCheck slowOnce = new WriteCheck() {
            private int calls;

            @Override
            public boolean mayWrite() {
                return true;
            }

            @Override
            public OptionalLong timeoutMs() {
                if (calls++ == 0) {
                    waitFor(LONG_PREPARATION_MS);
                    return OptionalLong.of(600);
                }
                return OptionalLong.of(150);
            }
        };
        RequestWrite write = new RequestWrite(ByteBufAllocator.DEFAULT, REQUEST.encode("h"), slowOnce);
        write.transferTo(channel, 0);
        write.release();
        assertEquals(written(REQUEST.encode("h"), 150), channel.received.toString(StandardCharsets.UTF_8));
    }

    private static void waitFor(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Guards against a request whose last bytes reach the cache long after its client has left.
    @Test
    void theRestOfARequestWhoseCheckHasExpiredIsNotWritten() throws Exception {
        LimitedChannel channel = new LimitedChannel(1_000);
        ExpiringCheck check = new ExpiringCheck(500);
        RequestWrite write = new RequestWrite(ByteBufAllocator.DEFAULT, REQUEST.encode("h"), check);
        write.transferTo(channel, 0);
        check.timeoutMs = OptionalLong.empty();
        assertThrows(WriteExpiredException.class, () -> write.transferTo(channel, write.transferred()));
        write.release();
        assertEquals(1_000, channel.received.size());
        assertTrue(write.transferred() < write.count());
    }
}
