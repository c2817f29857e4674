package pewtercourse.failover;

/** Tracks how many endpoints a list usually has: the largest recent count. */
final class UsualCount {
    // If the list stays shorter for this long, the present count becomes the usual one.
    private static final long MAX_AGE_MICROS = 600_000_000;

    private int usual;
    private long usualSeenAt;

    /** Records the present count and returns the usual one. */
    int update(long now, int count) {
        if (count >= usual || now - usualSeenAt > MAX_AGE_MICROS) {
            usual = count;
            usualSeenAt = now;
        }
        return usual;
    }
}
