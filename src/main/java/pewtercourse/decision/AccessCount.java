package pewtercourse.decision;

/** Accesses of one object; they halve every {@link #HALF_LIFE}. */
final class AccessCount {
    /** Microseconds: long enough to tell popular objects at a few requests a second. */
    static final long HALF_LIFE = 5_000_000;
    /** Accesses that are kept at most. */
    static final int MAX = 1 << 12;

    /** Accesses at this router. */
    int local;
    /** Of these, the ones that its owner was not yet told of. */
    int unreported;
    /** Accesses at all routers, as its owner last told. */
    int total;
    /** Number of its next request, by which its replicas take turns. */
    int nextTurn;
    /** Segments of the object that were seen asked for. */
    int segments = 1;
    /** Batch of events in which it was last counted. */
    long lastBatch;

    private long halvings;

    /** Halves what has aged since the last call. */
    AccessCount decay(long now) {
        int shift = (int) Math.min(31, now / HALF_LIFE - halvings);
        local >>= shift;
        total >>= shift;
        halvings = now / HALF_LIFE;
        return this;
    }

    /** Adds accesses and returns their number. */
    int add(int accesses) {
        local = Math.min(MAX, local + accesses);
        return local;
    }
}
