package pewtercourse.raft.net;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import pewtercourse.raft.wire.Wire;

/** Frames of one connection: four bytes of length, then a message. */
final class FrameReader {
    static final int MOST = 4 << 20;

    private Buffer rest = Buffer.buffer();

    static Buffer encode(Wire.Frame f) {
        byte[] content = f.toByteArray();
        return Buffer.buffer(4 + content.length).appendInt(content.length).appendBytes(content);
    }

    /** The frames that are whole now. Throws on what can't be one. */
    List<Wire.Frame> add(Buffer more) throws InvalidProtocolBufferException {
        rest = rest.length() == 0 ? more : rest.appendBuffer(more);
        List<Wire.Frame> whole = new ArrayList<>();
        int at = 0;
        while (rest.length() - at >= 4) {
            int length = rest.getInt(at);
            if (length <= 0 || length > MOST) {
                throw new InvalidProtocolBufferException("a frame of " + length + " bytes");
            }
            if (rest.length() - at - 4 < length) {
                break;
            }
            whole.add(Wire.Frame.parseFrom(rest.getBytes(at + 4, at + 4 + length)));
            at += 4 + length;
        }
        rest = at == 0 ? rest : rest.getBuffer(at, rest.length());
        return whole;
    }
}
