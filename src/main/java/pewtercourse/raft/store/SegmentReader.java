package pewtercourse.raft.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import pewtercourse.raft.wire.Wire;

/**
 * Reads the records of one segment in order: its head, then batches. Only the newest segment may end in a torn record,
 * one that a crash cut off before it was synced; anything else that can't be read is damage. Reading changes nothing.
 */
final class SegmentReader {
    private final Path file;
    private final boolean newest;
    private final ByteBuffer bytes;
    private int offset;
    private boolean torn;

    /** Opens a segment; {@code newest} says whether it has the highest number of its folder. */
    SegmentReader(Path file, boolean newest) throws IOException {
        this.file = file;
        this.newest = newest;
        this.bytes = ByteBuffer.wrap(Files.readAllBytes(file));
    }

    /** The head, which has to be read first; empty if the process ended before it had written it. */
    Optional<Wire.SegmentHead> readHead() throws IOException {
        Optional<byte[]> content = readRecord();
        return content.isEmpty() ? Optional.empty() : Optional.of(parseHead(content.get()));
    }

    /** The next batch, or empty behind the last complete one. */
    Optional<Wire.Batch> readBatch() throws IOException {
        if (torn || offset >= bytes.limit()) {
            return Optional.empty();
        }
        Optional<byte[]> content = readRecord();
        return content.isEmpty() ? Optional.empty() : Optional.of(parseBatch(content.get()));
    }

    /** The number of bytes, from the beginning of the file on, that complete records take which have been read. */
    int offset() {
        return offset;
    }

    /** Whether a torn record was met: what is behind {@link #offset} is to be cut off before the folder is written to. */
    boolean torn() {
        return torn;
    }

    private Optional<byte[]> readRecord() throws StoreException {
        Optional<byte[]> content = RecordFormat.decode(bytes, offset);
        if (content.isPresent()) {
            offset += RecordFormat.HEADER_BYTES + content.get().length;
            return content;
        }
        // A record is only begun once the one before it is synced: with a complete one behind it, this one was synced.
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
