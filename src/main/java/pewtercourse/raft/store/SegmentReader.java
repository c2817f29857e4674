package pewtercourse.raft.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import pewtercourse.raft.wire.Wire;

/**
 * Reads the records of one segment in order: its head, then its batches. Only the newest segment may end in a torn
 * record, which a crash has cut off before it was synced. Anything else that can't be read is reported as damage.
 * Reading does not change the file.
 */
final class SegmentReader {
    private final Path file;
    private final boolean newest;
    private final ByteBuffer bytes;
    private int offset;
    private boolean torn;

    /** Reads the file; {@code newest} is true for the segment with the highest number in its folder. */
    SegmentReader(Path file, boolean newest) throws IOException {
        this.file = file;
        this.newest = newest;
        this.bytes = ByteBuffer.wrap(Files.readAllBytes(file));
    }

    /** Reads the head, which has to be read first; empty if a crash has cut it off. */
    Optional<Wire.SegmentHead> readHead() throws IOException {
        Optional<byte[]> content = readRecord();
        return content.isEmpty() ? Optional.empty() : Optional.of(parseHead(content.get()));
    }

    /** Reads the next batch; empty after the last complete one. */
    Optional<Wire.Batch> readBatch() throws IOException {
        if (torn || offset >= bytes.limit()) {
            return Optional.empty();
        }
        Optional<byte[]> content = readRecord();
        return content.isEmpty() ? Optional.empty() : Optional.of(parseBatch(content.get()));
    }

    /** The size of the complete records that have been read, in bytes from the start of the file. */
    int offset() {
        return offset;
    }

    /** Whether a torn record starts at {@link #offset}. It has to be removed before the folder is written to. */
    boolean torn() {
        return torn;
    }

    private Optional<byte[]> readRecord() throws StoreException {
        Optional<byte[]> content = RecordFormat.decode(bytes, offset);
        if (content.isPresent()) {
            offset += RecordFormat.HEADER_BYTES + content.get().length;
            return content;
        }
        // A record is only written once the one before it is synced. If a complete record follows, this one was
        // synced, so it is damaged.
        if (!newest || RecordFormat.containsRecordFrom(bytes, offset + 1)) {
            throw StoreException.damaged(file, offset);
        }
        torn = true;
        return Optional.empty();
    }

    private Wire.SegmentHead parseHead(byte[] content) throws StoreException {
        try {
            return Wire.SegmentHead.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw StoreException.damaged(file, 0);
        }
    }

    private Wire.Batch parseBatch(byte[] content) throws StoreException {
        try {
            return Wire.Batch.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw StoreException.damaged(file, 0);
        }
    }
}
