package pewtercourse.failover;

/** How many endpoints a list usually has: its greatest count lately. */
final class UsualCount {
    // A list that stays shorter for this long is the usual one.
    private static final long MAX_AGE_MICROS = 600_000_000;

    private int greatest;
    private long seenAt;

    /** Takes in the present count and gives the usual one. */
    int update(long now, int count) {
        if (count >= greatest || now - seenAt > MAX_AGE_MICROS) {
            greatest = count;
            seenAt = now;
        }
        return greatest;
    }
}
