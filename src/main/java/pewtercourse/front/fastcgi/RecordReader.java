package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;

/** Splits a stream of bytes into records, however the bytes were fragmented by the network. */
final class RecordReader {
    private Buffer unread = Buffer.buffer();
    private int position;

    /** Appends received bytes. */
    void add(Buffer bytes) {
        if (position == unread.length()) {
            unread = bytes;
        } else {
            unread = Buffer.buffer(unread.length() - position + bytes.length())
                    .appendBuffer(unread, position, unread.length() - position)
                    .appendBuffer(bytes);
        }
        position = 0;
    }

    /** The number of bytes of the incomplete record. */
    int pending() {
        return unread.length() - position;
    }

    /** The next complete record, or null until more bytes are added. */
    Record next() throws MalformedRecordException {
        if (unread.length() - position < Record.HEADER_BYTES) {
            return null;
        }
        int version = unread.getUnsignedByte(position);
        if (version != 1) {
            throw new MalformedRecordException("version " + version + ", expected 1");
        }
        int length = unread.getUnsignedShort(position + 4);
        int end = position + Record.HEADER_BYTES + length + unread.getUnsignedByte(position + 6);
        if (unread.length() < end) {
            return null;
        }
        Record record = new Record(
                version,
                unread.getUnsignedByte(position + 1),
                unread.getUnsignedShort(position + 2),
                unread.getBuffer(position + Record.HEADER_BYTES, position + Record.HEADER_BYTES + length));
        position = end;
        return record;
    }
}
