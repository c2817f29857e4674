package pewtercourse.raft.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RecordFormatTest {
    private static final byte[] CONTENT = {1, 2, 3, 4, 5};

    @Test
    void decodesAnEncodedRecord() {
        ByteBuffer record = RecordFormat.encode(CONTENT);
        assertEquals(RecordFormat.HEADER_BYTES + CONTENT.length, record.remaining());
        assertArrayEquals(CONTENT, RecordFormat.decode(record, 0).orElseThrow());
    }

    @Test
    void rejectsARecordCutOffAtAnyByte() {
        ByteBuffer record = RecordFormat.encode(CONTENT);
        for (int length = 0; length < record.limit(); length++) {
            assertEquals(
                    Optional.empty(), RecordFormat.decode(record.slice(0, length), 0), "cut off at byte " + length);
        }
    }

    @Test
    void rejectsARecordWithAnyBitChanged() {
        ByteBuffer record = RecordFormat.encode(CONTENT);
        for (int bit = 0; bit < Byte.SIZE * record.limit(); bit++) {
            byte[] changed = record.array().clone();
            changed[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertEquals(Optional.empty(), RecordFormat.decode(ByteBuffer.wrap(changed), 0), "bit " + bit);
        }
    }

    @Test
    void rejectsZeros() {
        ByteBuffer zeros = ByteBuffer.allocate(64);
        assertEquals(Optional.empty(), RecordFormat.decode(zeros, 0));
        assertFalse(RecordFormat.containsRecordFrom(zeros, 0));
    }

    @Test
    void findsARecordAfterOtherBytes() {
        ByteBuffer file = ByteBuffer.allocate(100);
        file.put(7, RecordFormat.encode(CONTENT).array());
        assertTrue(RecordFormat.containsRecordFrom(file, 0));
        assertTrue(RecordFormat.containsRecordFrom(file, 7));
        assertFalse(RecordFormat.containsRecordFrom(file, 8));
    }
}
