package pewtercourse.cache;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.ArrayList;
import java.util.List;

/** Collects the body of a response in blocks, so that the memory it takes follows the bytes received and not its length. */
final class ResponseBody {
    static final int MAX_BLOCK_BYTES = 16 * 1024;
    private static final int MIN_BLOCK_BYTES = 1024;
    private static final UnpooledByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

    private final List<ByteBuf> blocks = new ArrayList<>();
    private final int declaredLength;
    private int length;
    private int allocatedBytes;

    /** Creates an empty body; {@code declaredLength} is 0 if the length is not known. */
    ResponseBody(int declaredLength) {
        this.declaredLength = declaredLength;
    }

    /** Copies the readable bytes of {@code content}. */
    void append(ByteBuf content) {
        while (content.isReadable()) {
            ByteBuf block = lastBlock(content.readableBytes());
            int count = Math.min(block.writableBytes(), content.readableBytes());
            block.writeBytes(content, count);
            length += count;
        }
    }

    private ByteBuf lastBlock(int wantedBytes) {
        if (!blocks.isEmpty() && blocks.get(blocks.size() - 1).isWritable()) {
            return blocks.get(blocks.size() - 1);
        }
        int expectedBytes = declaredLength > length ? declaredLength - length : Math.max(length, MIN_BLOCK_BYTES);
        int capacity = Math.min(MAX_BLOCK_BYTES, Math.max(expectedBytes, wantedBytes));
        ByteBuf block = ALLOCATOR.heapBuffer(capacity, capacity);
        allocatedBytes += capacity;
        blocks.add(block);
        return block;
    }

    /** Number of bytes collected. */
    int length() {
        return length;
    }

    /** Number of bytes of memory that the body takes. */
    int allocatedBytes() {
        return allocatedBytes;
    }

    /** Number of bytes of memory that the complete body takes at most; {@code maxLength} is its length if none is declared. */
    int expectedBytes(int maxLength) {
        return declaredLength > 0 ? declaredLength : maxLength + MAX_BLOCK_BYTES;
    }

    /** The collected bytes, without a copy. */
    Buffer toBuffer() {
        ByteBuf joined = Unpooled.wrappedBuffer(Math.max(1, blocks.size()), blocks.toArray(new ByteBuf[0]));
        return BufferInternal.buffer(Unpooled.unreleasableBuffer(joined));
    }
}
