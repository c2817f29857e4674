package pewtercourse.front.fastcgi;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One FastCGI 1.0 record, its padding already gone, and how such records are written. */
record Record(int version, int type, int id, Buffer content) {
    static final int BEGIN = 1,
            ABORT = 2,
            END = 3,
            PARAMS = 4,
            STDIN = 5,
            STDOUT = 6,
            GET_VALUES = 9,
            GET_VALUES_RESULT = 10,
            UNKNOWN_TYPE = 11;
    static final int HEADER = 8, CONTENT_MOST = 65_535;
    static final int RESPONDER = 1, KEEP_CONN = 1;
    static final int REQUEST_COMPLETE = 0, OVERLOADED = 2, UNKNOWN_ROLE = 3;
    /** STDOUT is cut into pieces of this size, so that requests on one connection take turns. */
    static final int PIECE = 32_760;

    static Buffer encode(int type, int id, Buffer content) {
        int padding = -content.length() & 7;
        return Buffer.buffer(HEADER + content.length() + padding)
                .appendByte((byte) 1)
                .appendByte((byte) type)
                .appendUnsignedShort(id)
                .appendUnsignedShort(content.length())
                .appendByte((byte) padding)
                .appendByte((byte) 0)
                .appendBuffer(content)
                .appendBytes(new byte[padding]);
    }

    static Buffer end(int id, int protocolStatus) {
        return encode(
                END,
                id,
                Buffer.buffer(8).appendInt(0).appendByte((byte) protocolStatus).appendBytes(new byte[3]));
    }

    static Buffer unknownType(int type) {
        return encode(UNKNOWN_TYPE, 0, Buffer.buffer(8).appendByte((byte) type).appendBytes(new byte[7]));
    }

    /** Name-value pairs; a length that points past the end is malformed. */
    static Map<String, String> pairs(Buffer in) throws MalformedRecordException {
        Map<String, String> pairs = new LinkedHashMap<>();
        int[] at = {0};
        while (at[0] < in.length()) {
            int name = length(in, at);
            int value = length(in, at);
            if ((long) at[0] + name + value > in.length()) {
                throw new MalformedRecordException("a name-value pair ends past its stream");
            }
            pairs.put(
                    in.getString(at[0], at[0] + name, StandardCharsets.UTF_8.name()),
                    in.getString(at[0] + name, at[0] + name + value, StandardCharsets.UTF_8.name()));
            at[0] += name + value;
        }
        return pairs;
    }

    private static int length(Buffer in, int[] at) throws MalformedRecordException {
        if (at[0] < in.length() && in.getByte(at[0]) >= 0) {
            return in.getByte(at[0]++);
        }
        if (at[0] + 4 > in.length()) {
            throw new MalformedRecordException("a name-value pair has no length");
        }
        int n = in.getInt(at[0]) & 0x7fffffff;
        at[0] += 4;
        return n;
    }

    static Buffer pairs(Map<String, String> pairs) {
        Buffer out = Buffer.buffer();
        pairs.forEach((name, value) -> {
            Buffer n = Buffer.buffer(name);
            Buffer v = Buffer.buffer(value);
            appendLength(out, n.length());
            appendLength(out, v.length());
            out.appendBuffer(n).appendBuffer(v);
        });
        return out;
    }

    private static void appendLength(Buffer out, int n) {
        if (n < 128) {
            out.appendByte((byte) n);
        } else {
            out.appendInt(n | 0x80000000);
        }
    }
}
