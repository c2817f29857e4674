package pewtercourse.raft;

import java.io.ByteArrayOutputStream;

/** A snapshot that comes from the leader in parts. */
final class IncomingSnapshot {
    private ByteArrayOutputStream bytes; // Null: none is on its way.
    private long lastIndex;
    private long lastTerm;

    /**
     * Takes a part, and returns how many bytes are there. A part of another snapshot starts that one; a part that is not
     * the next, or of a snapshot of more than {@code maxBytes}, is ignored.
     */
    int add(Message.SnapshotChunk chunk, long maxBytes) {
        if (bytes == null || lastIndex != chunk.lastIndex() || lastTerm != chunk.lastTerm()) {
            bytes = new ByteArrayOutputStream();
            lastIndex = chunk.lastIndex();
            lastTerm = chunk.lastTerm();
        }
        if (chunk.offset() == bytes.size() && chunk.total() <= maxBytes) {
            bytes.writeBytes(chunk.part());
        }
        return bytes.size();
    }

    /** All bytes that have come; the next part starts anew. */
    byte[] take() {
        byte[] taken = bytes.toByteArray();
        discard();
        return taken;
    }

    void discard() {
        bytes = null;
    }
}
