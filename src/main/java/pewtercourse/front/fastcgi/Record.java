package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** A FastCGI 1.0 record without its padding, and the encoding of records. */
record Record(int version, int type, int id, Buffer content) {
    static final int BEGIN = 1;
    static final int ABORT = 2;
    static final int END = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;
    static final int HEADER_BYTES = 8;
    static final int MAX_CONTENT_BYTES = 65_535;
    static final int RESPONDER = 1;
    static final int KEEP_CONN = 1;
    static final int REQUEST_COMPLETE = 0;
    static final int OVERLOADED = 2;
    static final int UNKNOWN_ROLE = 3;
    /** All names that a director knows are at least this long. */
    private static final int MIN_WANTED_NAME_LENGTH = 8;
    /** Answers are split into STDOUT records of this size, so that the requests of a connection take turns. */
    static final int STDOUT_PIECE_BYTES = 32_760;

    /** Encodes a record with its header and padding. */
    static Buffer encode(int type, int id, Buffer content) {
        return header(type, id, content.length()).appendBuffer(content).appendBuffer(padding(content.length()));
    }

    /** Encodes the header of a record with this length of content. */
    static Buffer header(int type, int id, int contentLength) {
        int padding = paddingBytes(contentLength);
        return Buffer.buffer(HEADER_BYTES)
                .appendByte((byte) 1)
                .appendByte((byte) type)
                .appendUnsignedShort(id)
                .appendUnsignedShort(contentLength)
                .appendByte((byte) padding)
                .appendByte((byte) 0);
    }

    /** The padding behind a content of this length. */
    static Buffer padding(int contentLength) {
        return Buffer.buffer(new byte[paddingBytes(contentLength)]);
    }

    private static int paddingBytes(int contentLength) {
        return -contentLength & 7;
    }

    /** Encodes the END_REQUEST record of a request. */
    static Buffer end(int id, int protocolStatus) {
        return encode(
                END,
                id,
                Buffer.buffer(8).appendInt(0).appendByte((byte) protocolStatus).appendBytes(new byte[3]));
    }

    /** Encodes the answer to a management record of an unknown type. */
    static Buffer unknownType(int type) {
        return encode(UNKNOWN_TYPE, 0, Buffer.buffer(8).appendByte((byte) type).appendBytes(new byte[7]));
    }

    /**
     * Decodes name-value pairs and returns those whose names are wanted: each of thousands of others would cost many times
     * its bytes. Throws if a length points past the end.
     */
    static Map<String, String> pairs(Buffer in, Predicate<String> isWanted) throws MalformedRecordException {
        Map<String, String> pairs = new LinkedHashMap<>();
        int[] position = {0};
        while (position[0] < in.length()) {
            int nameLength = length(in, position);
            int valueLength = length(in, position);
            if ((long) position[0] + nameLength + valueLength > in.length()) {
                throw new MalformedRecordException("a name-value pair ends after the end of its stream");
            }
            int valueStart = position[0] + nameLength;
            if (nameLength >= MIN_WANTED_NAME_LENGTH) {
                String name = text(in, position[0], valueStart);
                if (isWanted.test(name)) {
                    pairs.put(name, text(in, valueStart, valueStart + valueLength));
                }
            }
            position[0] = valueStart + valueLength;
        }
        return pairs;
    }

    private static String text(Buffer in, int start, int end) {
        return in.getString(start, end, StandardCharsets.UTF_8.name());
    }

    private static int length(Buffer in, int[] position) throws MalformedRecordException {
        if (position[0] < in.length() && in.getByte(position[0]) >= 0) {
            return in.getByte(position[0]++);
        }
        if (position[0] + 4 > in.length()) {
            throw new MalformedRecordException("the length of a name-value pair is missing");
        }
        int length = in.getInt(position[0]) & 0x7fffffff;
        position[0] += 4;
        return length;
    }

    /** Encodes name-value pairs. */
    static Buffer pairs(Map<String, String> pairs) {
        Buffer out = Buffer.buffer();
        pairs.forEach((name, value) -> {
            Buffer nameBytes = Buffer.buffer(name);
            Buffer valueBytes = Buffer.buffer(value);
            appendLength(out, nameBytes.length());
            appendLength(out, valueBytes.length());
            out.appendBuffer(nameBytes).appendBuffer(valueBytes);
        });
        return out;
    }

    private static void appendLength(Buffer out, int length) {
        if (length < 128) {
            out.appendByte((byte) length);
        } else {
            out.appendInt(length | 0x80000000);
        }
    }
}
