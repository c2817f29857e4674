package pewtercourse.raft;

import java.io.ByteArrayOutputStream;

/** Assembles a snapshot from the chunks that the leader sends. */
final class IncomingSnapshot {
    private ByteArrayOutputStream received; // Null while no snapshot is being received.
    private long lastIndex;
    private long lastTerm;

    /**
     * Adds a chunk and returns the number of bytes received so far. A chunk of another snapshot discards the bytes of
     * the earlier one. A chunk is ignored if it is not the next one, or if its snapshot is larger than
     * {@code maxBytes}.
     */
    int add(Message.SnapshotChunk chunk, long maxBytes) {
        if (received == null || lastIndex != chunk.lastIndex() || lastTerm != chunk.lastTerm()) {
            received = new ByteArrayOutputStream();
            lastIndex = chunk.lastIndex();
            lastTerm = chunk.lastTerm();
        }
        if (chunk.offset() == received.size() && chunk.totalBytes() <= maxBytes) {
            received.writeBytes(chunk.data());
        }
        return received.size();
    }

    /** Returns the bytes received, and discards them here: the next chunk starts a new snapshot. */
    byte[] take() {
        byte[] taken = received.toByteArray();
        discard();
        return taken;
    }

    void discard() {
        received = null;
    }
}
