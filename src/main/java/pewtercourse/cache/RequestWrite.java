package pewtercourse.cache;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.FileRegion;
import io.netty.util.AbstractReferenceCounted;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import pewtercourse.Log;

/**
 * Writes an encoded request to the channel of a socket, and consults its {@link WriteCheck} between the library and the system
 * call: the process may be stopped at any instruction, and what was checked before the stop may no longer hold after it. Once
 * the check has expired the write fails, which closes the connection.
 */
final class RequestWrite extends AbstractReferenceCounted implements FileRegion {
    private static final int MAX_DIGITS = 19;
    // The process may have been stopped while the bytes were prepared for longer.
    private static final long MAX_PREPARATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DELAYED_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final String id;
    private final WriteCheck check;
    private final ByteBuf bytes;
    // The head before the time limit is moved to the digits of the limit, which are known last.
    private final byte[] beforeTimeout;
    private final int digitsEnd;
    private ByteBuffer unwritten;
    private long transferred;

    RequestWrite(ByteBufAllocator allocator, CacheRequest.Encoded request, WriteCheck check) {
        this.id = request.id();
        this.check = check;
        this.beforeTimeout = request.beforeTimeout();
        this.digitsEnd = beforeTimeout.length + MAX_DIGITS;
        this.bytes = allocator.directBuffer(digitsEnd + request.afterTimeout().length);
        bytes.writeZero(digitsEnd).writeBytes(request.afterTimeout());
    }

    @Override
    public long transferTo(WritableByteChannel target, long position) throws IOException {
        long checkedNanos = prepare();
        // Nothing but the system call follows the last look at the clock.
        while (System.nanoTime() - checkedNanos > MAX_PREPARATION_NANOS) {
            checkedNanos = prepare();
        }
        int written = target.write(unwritten);
        transferred += written;
        logDelay(System.nanoTime() - checkedNanos);
        return written;
    }

    /** Consults the check and encodes the time limit, unless a part is written already; returns when it began. */
    private long prepare() throws WriteExpiredException {
        long beganNanos = System.nanoTime();
        OptionalLong timeoutMs = check.timeoutMs();
        if (timeoutMs.isEmpty()) {
            throw new WriteExpiredException();
        }
        if (transferred == 0) {
            unwritten = encode(timeoutMs.getAsLong());
        }
        return beganNanos;
    }

    private void logDelay(long elapsedNanos) {
        if (elapsedNanos > DELAYED_WRITE_NANOS) {
            Log.counted("attempt.write_delayed", "id", id, "ms", TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
        }
    }

    private ByteBuffer encode(long timeoutMs) {
        byte[] digits = Long.toString(timeoutMs).getBytes(StandardCharsets.US_ASCII);
        int start = digitsEnd - digits.length - beforeTimeout.length;
        bytes.setBytes(start, beforeTimeout).setBytes(digitsEnd - digits.length, digits);
        return bytes.nioBuffer(start, bytes.writerIndex() - start);
    }

    /** The number of bytes to write; a lower bound until the first byte is written. */
    @Override
    public long count() {
        return unwritten == null ? bytes.writerIndex() - digitsEnd + 1L : transferred + unwritten.remaining();
    }

    @Override
    public long position() {
        return 0;
    }

    @Override
    public long transferred() {
        return transferred;
    }

    @Override
    @Deprecated
    public long transfered() {
        return transferred;
    }

    @Override
    protected void deallocate() {
        bytes.release();
    }

    @Override
    public RequestWrite retain() {
        super.retain();
        return this;
    }

    @Override
    public RequestWrite retain(int increment) {
        super.retain(increment);
        return this;
    }

    @Override
    public RequestWrite touch() {
        return this;
    }

    @Override
    public RequestWrite touch(Object hint) {
        return this;
    }
}
