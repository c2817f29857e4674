package pewtercourse.raft.store;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the records of a file. A record consists of the length of its content and a checksum, each a
 * big-endian number of four bytes, and the content. The checksum is the CRC-32C of the length and the content. It
 * covers the length so that a run of zeros, which a crash may leave behind, is not a valid record.
 */
final class RecordFormat {
    /** The size of the length and the checksum, which precede the content. */
    static final int HEADER_BYTES = 2 * Integer.BYTES;

    private static final int MAX_CONTENT_BYTES = 80 << 20;

    private RecordFormat() {}

    /** Returns the record with this content, ready to be written. */
    static ByteBuffer encode(byte[] content) {
        return ByteBuffer.allocate(HEADER_BYTES + content.length)
                .putInt(content.length)
                .putInt(checksum(content))
                .put(content)
                .flip();
    }

    /** Returns the content of the record at {@code offset}; empty if no complete and undamaged record starts there. */
    static Optional<byte[]> decode(ByteBuffer file, int offset) {
        if (offset + HEADER_BYTES > file.limit()) {
            return Optional.empty();
        }
        int length = file.getInt(offset);
        if (length < 0 || length > MAX_CONTENT_BYTES || offset + HEADER_BYTES + length > file.limit()) {
            return Optional.empty();
        }
        byte[] content = new byte[length];
        file.get(offset + HEADER_BYTES, content);
        int expectedChecksum = file.getInt(offset + Integer.BYTES);
        return checksum(content) == expectedChecksum ? Optional.of(content) : Optional.empty();
    }

    /** Whether a complete and undamaged record starts at {@code offset} or at any later position. */
    static boolean containsRecordFrom(ByteBuffer file, int offset) {
        for (int start = offset; start + HEADER_BYTES <= file.limit(); start++) {
            int length = file.getInt(start);
            boolean fits = length >= 0 && length <= file.limit() - start - HEADER_BYTES;
            if (fits && decode(file, start).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, content.length));
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
