package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;

/** Cuts a stream of bytes into records, wherever the bytes were split on their way. */
final class RecordReader {
    private Buffer rest = Buffer.buffer();
    private int at;

    void add(Buffer bytes) {
        if (at == rest.length()) {
            rest = bytes;
        } else {
            rest = Buffer.buffer(rest.length() - at + bytes.length())
                    .appendBuffer(rest, at, rest.length() - at)
                    .appendBuffer(bytes);
        }
        at = 0;
    }

    /** Bytes of a record that isn't whole yet. */
    int pending() {
        return rest.length() - at;
    }

    /** The next whole record, or null until more bytes have come. */
    Record next() throws MalformedRecordException {
        if (rest.length() - at < Record.HEADER) {
            return null;
        }
        int version = rest.getUnsignedByte(at);
        if (version != 1) {
            throw new MalformedRecordException("version " + version + " where 1 is expected");
        }
        int length = rest.getUnsignedShort(at + 4);
        int end = at + Record.HEADER + length + rest.getUnsignedByte(at + 6);
        if (rest.length() < end) {
            return null;
        }
        Record r = new Record(
                version,
                rest.getUnsignedByte(at + 1),
                rest.getUnsignedShort(at + 2),
                rest.getBuffer(at + Record.HEADER, at + Record.HEADER + length));
        at = end;
        return r;
    }
}
