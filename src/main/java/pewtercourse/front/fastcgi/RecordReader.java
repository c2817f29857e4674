package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;

/** Splits a stream of bytes into records, however the bytes were fragmented by the network. */
final class RecordReader {
    private Buffer unread = Buffer.buffer();
    private int position;
    private int bytesToSkip;

    /** Appends received bytes. */
    void add(Buffer received) {
        int skipped = Math.min(bytesToSkip, received.length());
        bytesToSkip -= skipped;
        Buffer bytes = skipped == 0 ? received : received.slice(skipped, received.length());
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

    /**
     * Drops the content of the incomplete record: what has come and what will come of it. Returns the record without its
     * content, or null if its header is not complete.
     */
    Record skipIncomplete() {
        if (pending() < Record.HEADER_BYTES) {
            return null;
        }
        int length = unread.getUnsignedShort(position + 4) + unread.getUnsignedByte(position + 6);
        Record record = new Record(
                unread.getUnsignedByte(position),
                unread.getUnsignedByte(position + 1),
                unread.getUnsignedShort(position + 2),
                Buffer.buffer());
        bytesToSkip = Record.HEADER_BYTES + length - pending();
        unread = Buffer.buffer();
        position = 0;
        return record;
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
