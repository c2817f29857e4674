package pewtercourse.raft;

import java.io.ByteArrayOutputStream;

/** A snapshot that comes from the leader in parts. */
final class IncomingSnapshot {
    private ByteArrayOutputStream bytes; // Null: none comes.
    private long index, term;

    /**
     * Takes a part, and returns how many bytes are there. A part of another snapshot begins it anew; one that is not the
     * next, or of a snapshot of more than {@code most} bytes, is passed over.
     */
    int add(Message.Install part, long most) {
        if (bytes == null || index != part.lastIndex() || term != part.lastTerm()) {
            bytes = new ByteArrayOutputStream();
            index = part.lastIndex();
            term = part.lastTerm();
        }
        if (part.offset() == bytes.size() && part.total() <= most) {
            bytes.writeBytes(part.part());
        }
        return bytes.size();
    }

    /** What has come. */
    byte[] take() {
        byte[] taken = bytes.toByteArray();
        drop();
        return taken;
    }

    void drop() {
        bytes = null;
    }
}
