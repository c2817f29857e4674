package pewtercourse.raft.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import pewtercourse.raft.wire.Wire;

/**
 * Encodes and decodes the frames of a connection. A frame consists of the length of the message, a big-endian number of
 * four bytes, and the message. An instance decodes the bytes that one connection receives; it buffers an incomplete
 * frame until the rest arrives.
 */
final class FrameCodec {
    /** The maximum size of a message that is accepted. */
    static final int MAX_MESSAGE_BYTES = 4 << 20;

    private static final int LENGTH_BYTES = Integer.BYTES;

    private Buffer incompleteFrame = Buffer.buffer();

    /** Returns the frame with this message. */
    static Buffer encode(Wire.Frame message) {
        byte[] content = message.toByteArray();
        return Buffer.buffer(LENGTH_BYTES + content.length)
                .appendInt(content.length)
                .appendBytes(content);
    }

    /**
     * Adds received bytes and returns the messages that are complete now, in order.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a valid frame
     */
    List<Wire.Frame> decode(Buffer received) throws InvalidProtocolBufferException {
        incompleteFrame = incompleteFrame.length() == 0 ? received : incompleteFrame.appendBuffer(received);
        Buffer bytes = incompleteFrame;
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
        incompleteFrame = offset == 0 ? bytes : bytes.getBuffer(offset, bytes.length());
        return messages;
    }

    private static int messageLength(Buffer bytes, int offset) throws InvalidProtocolBufferException {
        int length = bytes.getInt(offset);
        if (length <= 0 || length > MAX_MESSAGE_BYTES) {
            throw new InvalidProtocolBufferException(
                    "frame length " + length + " is not between 1 and " + MAX_MESSAGE_BYTES + " bytes");
        }
        return length;
    }
}
