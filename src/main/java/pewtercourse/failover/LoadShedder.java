package pewtercourse.failover;

/**
 * Lets guests' work pass up to what was lent: a bucket of work of which the less worthy must leave a part (trunk
 * reservation; Kelly, "Loss Networks", 1991), so that they are refused first as it runs dry. Times and work in
 * microseconds.
 */
final class LoadShedder {
    // Work of so long at the full pace waits in the bucket at most; of it the least worthy must leave this share.
    private static final double BURST = 1_000_000, LEAVES = 0.8;
    // A request larger than this share of the bucket counts as so large when it asks, and leaves a debt: else it could
    // never pass.
    private static final double LARGE = 0.2;

    private double limit, level;
    private long last;

    LoadShedder(long now) {
        last = now;
    }

    /** Transfers at once that may pass. */
    void limit(double transfers) {
        boolean first = limit == 0;
        limit = transfers;
        level = first ? burst() : Math.min(level, burst());
    }

    private double burst() {
        return BURST * limit;
    }

    /** {@code rank}: 0 for the worthiest, 1 for the least. {@code must}: it passes in any case, and is counted. */
    boolean admit(long now, double rank, double work, boolean must) {
        level = Math.min(burst(), level + limit * Math.max(0, now - last));
        last = Math.max(last, now); // A clock that steps back adds nothing.
        boolean room = limit > 0 && level - Math.min(work, LARGE * burst()) >= LEAVES * rank * burst();
        if (room || must) {
            // Debts are paid back; only what passes without room could make one without end.
            level = room ? level - work : Math.max(Math.min(level, -burst()), level - work);
        }
        return room || must;
    }
}
