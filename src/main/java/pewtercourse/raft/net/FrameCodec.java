package pewtercourse.raft.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import pewtercourse.raft.wire.Wire;

/**
 * The framing of messages on a connection: the length of the message in four bytes, big-endian, then the message. An
 * instance decodes what one connection receives and keeps the beginning of a frame until the rest has come.
 */
final class FrameCodec {
    /** The longest message that is accepted, in bytes. */
    static final int MAX_MESSAGE_BYTES = 4 << 20;

    private static final int LENGTH_BYTES = Integer.BYTES;

    private Buffer incomplete = Buffer.buffer();

    /** The frame that carries this message. */
    static Buffer encode(Wire.Frame message) {
        byte[] content = message.toByteArray();
        return Buffer.buffer(LENGTH_BYTES + content.length)
                .appendInt(content.length)
                .appendBytes(content);
    }

    /** The messages that are complete with these bytes, in order. Throws where the bytes can't be a frame. */
    List<Wire.Frame> decode(Buffer received) throws InvalidProtocolBufferException {
        incomplete = incomplete.length() == 0 ? received : incomplete.appendBuffer(received);
        Buffer bytes = incomplete;
        List<Wire.Frame> messages = new ArrayList<>();
        int offset = 0;
        while (bytes.length() - offset >= LENGTH_BYTES) {
            int length = messageLength(bytes, offset);
            int start = offset + LENGTH_BYTES;
            if (bytes.length() - start < length) {
                break;
            }
            messages.add(Wire.Frame.parseFrom(bytes.getBytes(start, start + length)));
            offset = start + length;
        }
        incomplete = offset == 0 ? bytes : bytes.getBuffer(offset, bytes.length());
        return messages;
    }

    private static int messageLength(Buffer bytes, int offset) throws InvalidProtocolBufferException {
        int length = bytes.getInt(offset);
        if (length <= 0 || length > MAX_MESSAGE_BYTES) {
            throw new InvalidProtocolBufferException("a frame of " + length + " bytes");
        }
        return length;
    }
}
