package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/**
 * Splits a stream of bytes into records, however the bytes were fragmented by the network. Each byte is copied a bounded
 * number of times, also where it comes alone, and nothing keeps the pieces that were read from the socket.
 */
final class RecordReader {
    private static final int MIN_CAPACITY = 512;
    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int start; // Of what is unread.
    private int end;
    private int bytesToSkip;

    /** Appends received bytes. */
    void add(Buffer received) {
        int skipped = Math.min(bytesToSkip, received.length());
        bytesToSkip -= skipped;
        int added = received.length() - skipped;
        makeRoom(added);
        received.getBytes(skipped, received.length(), bytes, end);
        end += added;
    }

    private void makeRoom(int added) {
        int needed = pending() + added;
        if (end + added <= bytes.length) {
            return;
        }
        byte[] target = needed <= bytes.length / 2 ? bytes : new byte[Math.max(MIN_CAPACITY, growTo(needed))];
        System.arraycopy(bytes, start, target, 0, pending());
        end = pending();
        start = 0;
        bytes = target;
    }

    // Twice as much where a record grows in small pieces, so that its bytes are not copied for each of them.
    private int growTo(int needed) {
        if (pending() < Record.HEADER_BYTES) {
            return needed;
        }
        return Math.max(needed, Math.min(2 * pending(), recordBytes()));
    }

    /** Gives back the memory that the unread bytes don't need. Called once no complete record is left. */
    void trim() {
        if (pending() == 0) {
            bytes = EMPTY;
        } else if (start > 0 && bytes.length > 2 * Math.max(MIN_CAPACITY, pending())) {
            bytes = Arrays.copyOfRange(bytes, start, end);
        } else {
            return;
        }
        end = pending();
        start = 0;
    }

    /** The number of bytes that are not read yet. */
    int pending() {
        return end - start;
    }

    /** The memory that the reader holds, in bytes. */
    int heldBytes() {
        return bytes.length;
    }

    /** Whether {@link #next} returns a record or throws. */
    boolean hasNext() {
        if (pending() < Record.HEADER_BYTES) {
            return false;
        }
        return unsignedByte(start) != 1 || pending() >= recordBytes();
    }

    /**
     * Drops the content of the incomplete record: what has come and what will come of it. Returns the record without its
     * content, or null if its header is not complete.
     */
    Record skipIncomplete() {
        if (pending() < Record.HEADER_BYTES) {
            return null;
        }
        Record record =
                new Record(unsignedByte(start), unsignedByte(start + 1), unsignedShort(start + 2), Buffer.buffer());
        bytesToSkip = recordBytes() - pending();
        start = end;
        trim();
        return record;
    }

    /** The next complete record, or null until more bytes are added. */
    Record next() throws MalformedRecordException {
        if (pending() < Record.HEADER_BYTES) {
            return null;
        }
        int version = unsignedByte(start);
        if (version != 1) {
            throw new MalformedRecordException("version " + version + ", expected 1");
        }
        int recordBytes = recordBytes();
        if (pending() < recordBytes) {
            return null;
        }
        int contentStart = start + Record.HEADER_BYTES;
        byte[] content = Arrays.copyOfRange(bytes, contentStart, contentStart + unsignedShort(start + 4));
        Record record = new Record(version, unsignedByte(start + 1), unsignedShort(start + 2), Buffer.buffer(content));
        start += recordBytes;
        return record;
    }

    // With its header and padding.
    private int recordBytes() {
        return Record.HEADER_BYTES + unsignedShort(start + 4) + unsignedByte(start + 6);
    }

    private int unsignedByte(int index) {
        return bytes[index] & 0xff;
    }

    private int unsignedShort(int index) {
        return unsignedByte(index) << Byte.SIZE | unsignedByte(index + 1);
    }
}
