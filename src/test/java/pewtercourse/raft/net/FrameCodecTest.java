package pewtercourse.raft.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.raft.wire.Wire;

class FrameCodecTest {
    private static Wire.Frame timeoutNow(long term) {
        return Wire.Frame.newBuilder()
                .setTimeoutNow(Wire.TimeoutNow.newBuilder().setTerm(term))
                .build();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 1000})
    void decodesMessagesThatArriveInPieces(int pieceBytes) throws Exception {
        List<Wire.Frame> sent = List.of(timeoutNow(1), timeoutNow(1L << 40), timeoutNow(3));
        Buffer bytes = Buffer.buffer();
        sent.forEach(message -> bytes.appendBuffer(FrameCodec.encode(message)));

        FrameCodec codec = new FrameCodec();
        List<Wire.Frame> received = new ArrayList<>();
        for (int start = 0; start < bytes.length(); start += pieceBytes) {
            int end = Math.min(bytes.length(), start + pieceBytes);
            received.addAll(codec.decode(bytes.getBuffer(start, end)));
        }
        assertEquals(sent, received);
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, FrameCodec.MAX_MESSAGE_BYTES + 1, Integer.MAX_VALUE})
    void rejectsALengthOutsideTheLimits(int length) {
        Buffer bytes = Buffer.buffer().appendInt(length);
        assertThrows(InvalidProtocolBufferException.class, () -> new FrameCodec().decode(bytes));
    }

    @Test
    void rejectsBytesThatAreNotAMessage() {
        Buffer bytes = Buffer.buffer().appendInt(1).appendByte((byte) 0xff);
        assertThrows(InvalidProtocolBufferException.class, () -> new FrameCodec().decode(bytes));
    }
}
