package pewtercourse.raft.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** A record on disk: its length and a checksum (CRC-32C) of length and content, four bytes each, then the content. Zeros are none. */
final class Frames {
    static final int HEAD = 8;
    private static final int MOST = 80 << 20;

    private Frames() {}

    static ByteBuffer encode(byte[] content) {
        ByteBuffer b = ByteBuffer.allocate(HEAD + content.length);
        b.putInt(content.length)
                .putInt(checksum(content.length, content, 0))
                .put(content)
                .flip();
        return b;
    }

    /** The content of the record at {@code at}, or null if none that is whole begins there. */
    static byte[] at(ByteBuffer file, int at) {
        if (at + HEAD > file.limit()) {
            return null;
        }
        int length = file.getInt(at);
        if (length < 0 || length > MOST || at + HEAD + length > file.limit()) {
            return null;
        }
        byte[] content = new byte[length];
        file.get(at + HEAD, content);
        return checksum(length, content, 0) == file.getInt(at + 4) ? content : null;
    }

    /** Whether a whole record begins anywhere from {@code from} on. */
    static boolean anyFrom(ByteBuffer file, int from) {
        for (int i = from; i + HEAD <= file.limit(); i++) {
            int length = file.getInt(i);
            if (length >= 0 && length <= file.limit() - i - HEAD && at(file, i) != null) {
                return true;
            }
        }
        return false;
    }

    private static int checksum(int length, byte[] content, int from) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(0, length));
        crc.update(content, from, content.length - from);
        return (int) crc.getValue();
    }
}
