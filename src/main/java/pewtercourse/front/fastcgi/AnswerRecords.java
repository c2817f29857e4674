package pewtercourse.front.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.ArrayList;
import java.util.List;
import pewtercourse.front.Answer;

/** Encodes answers as FastCGI records around the bytes of their bodies, which are not copied. */
final class AnswerRecords {
    private AnswerRecords() {}

    /**
     * Splits the CGI response into STDOUT records. The last element also holds the records that end the answer, as each
     * write costs a system call.
     */
    static List<Buffer> encode(int id, Answer answer, int protocolStatus) {
        ByteBuf response = Unpooled.wrappedBuffer(bytesOf(CgiRequest.encodeHead(answer)), bytesOf(answer.body()));
        List<Buffer> records = new ArrayList<>();
        while (response.readableBytes() > Record.STDOUT_PIECE_BYTES) {
            records.add(bufferOf(stdout(id, response.readSlice(Record.STDOUT_PIECE_BYTES))));
        }
        Buffer end = Record.encode(Record.STDOUT, id, Buffer.buffer()).appendBuffer(Record.end(id, protocolStatus));
        records.add(bufferOf(
                Unpooled.wrappedBuffer(stdout(id, response.readSlice(response.readableBytes())), bytesOf(end))));
        return records;
    }

    private static ByteBuf stdout(int id, ByteBuf content) {
        int length = content.readableBytes();
        return Unpooled.wrappedBuffer(
                bytesOf(Record.header(Record.STDOUT, id, length)), content, bytesOf(Record.padding(length)));
    }

    private static ByteBuf bytesOf(Buffer buffer) {
        return ((BufferInternal) buffer).getByteBuf();
    }

    // Several buffers share the bytes of the body, so that none of them may release these.
    private static Buffer bufferOf(ByteBuf bytes) {
        return BufferInternal.buffer(Unpooled.unreleasableBuffer(bytes));
    }
}
