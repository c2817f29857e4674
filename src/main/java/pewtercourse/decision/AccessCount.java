package pewtercourse.decision;

/** Counts the accesses of one object. The counts halve every {@link #HALF_LIFE_MICROS}. */
final class AccessCount {
    /** Long enough to tell popular objects apart at a few requests a second. */
    static final long HALF_LIFE_MICROS = 5_000_000;
    /** Maximum of each count; a power of two, because {@link AccessCounts} derives a bit mask from it. */
    static final int MAX_COUNT = 1 << 12;

    /** Accesses at this router; in the table of an object's owner, the accesses that all routers reported. */
    int local;
    /** Accesses that this router has not yet reported to the object's owner. */
    int unreported;
    /** Accesses at all routers, as last reported by the object's owner. */
    int total;
    /** Number of the object's next request; the replicas of the object take turns by it. */
    int nextTurn;
    /** One more than the highest segment index requested so far. */
    int segments = 1;
    /** Batch of events in which the object was last counted. */
    long lastBatch;

    /** Half-lives elapsed until the last call of {@link #decay}. */
    private long elapsedHalfLives;

    /** Halves {@link #local} and {@link #total} once for each half-life since the last call. */
    AccessCount decay(long now) {
        int shift = (int) Math.min(31, now / HALF_LIFE_MICROS - elapsedHalfLives);
        local >>= shift;
        total >>= shift;
        elapsedHalfLives = now / HALF_LIFE_MICROS;
        return this;
    }

    /** Adds accesses, up to the maximum, and returns the new count. */
    int add(int accesses) {
        local = Math.min(MAX_COUNT, local + accesses);
        return local;
    }
}
