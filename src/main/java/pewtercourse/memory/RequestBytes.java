package pewtercourse.memory;

/**
 * Divides the memory for requests among the connections that hold some, so that no client uses up the part of another.
 * At the limit, what comes on connections that hold more than a quarter of an equal part is rejected. Once the others have
 * exceeded the limit by an eighth together, each connection has only what an ordinary request needs. Confined to the event
 * loop.
 */
public final class RequestBytes {
    /** What an ordinary request needs; each connection has this much, however many there are. */
    private static final long MIN_PART_BYTES = 4_096;

    /** The fraction of an equal part that a connection may hold at the limit is one of this many. */
    private static final long PARTS_PER_CONNECTION = 4;

    /** The connections under their part may exceed the limit together by this fraction of it: one of so many. */
    private static final long EXCESS_DIVISOR = 8;

    private final HeldBytes held;
    private int holders; // Connections that hold any bytes.

    /** Creates a division in which no connection holds anything. */
    public RequestBytes(HeldBytes held) {
        this.held = held;
    }

    /** Opens the account of a new connection. */
    public Account newAccount() {
        return new Account();
    }

    private long partBytes() {
        long limitBytes = held.limits().requestBytes();
        if (held.bytes(MemoryStage.REQUESTS) > limitBytes + limitBytes / EXCESS_DIVISOR) {
            return MIN_PART_BYTES;
        }
        return Math.max(MIN_PART_BYTES, limitBytes / (PARTS_PER_CONNECTION * Math.max(1, holders)));
    }

    /** The bytes of requests that one connection holds. */
    public final class Account {
        private long bytes;

        private Account() {}

        /** Changes what is held by this many bytes, which may be negative. */
        public void add(long addedBytes) {
            holders += (bytes + addedBytes > 0 ? 1 : 0) - (bytes > 0 ? 1 : 0);
            bytes += addedBytes;
            if (addedBytes >= 0) {
                held.add(MemoryStage.REQUESTS, addedBytes);
            } else {
                held.release(MemoryStage.REQUESTS, -addedBytes);
            }
        }

        /** Whether what was added last must be rejected, as the limit is reached. */
        public boolean mustReject() {
            return held.requestsExceedLimit() && bytes > partBytes();
        }
    }
}
