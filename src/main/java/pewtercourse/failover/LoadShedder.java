package pewtercourse.failover;

/**
 * Admits requests to one failover target up to an agreed load: a token bucket of service time, of which requests of
 * lower priority must leave a part (trunk reservation; Kelly, "Loss Networks", 1991), so that they are shed first as it
 * runs empty. Times in microseconds.
 */
final class LoadShedder {
    // The bucket holds the service time of so long at the full load.
    private static final double BURST_MICROS = 1_000_000;
    // The lowest priority must leave this share of the bucket.
    private static final double RESERVED_SHARE = 0.8;
    // A request larger than this share of the bucket is admitted as if it were just so large, and leaves a debt: else
    // it could never be admitted.
    private static final double LARGE_SHARE = 0.2;

    private double limit;
    private double level;
    private long updatedAt;

    LoadShedder(long now) {
        updatedAt = now;
    }

    /** Sets how many concurrent transfers may be admitted on average. The first limit comes with a full bucket. */
    void setLimit(double transfers) {
        boolean first = limit == 0;
        limit = transfers;
        level = first ? capacity() : Math.min(level, capacity());
    }

    private double capacity() {
        return BURST_MICROS * limit;
    }

    /**
     * Decides on one request and counts it if admitted.
     *
     * @param rank          0 for the highest priority, 1 for the lowest
     * @param serviceMicros how long its response takes to send
     * @param unconditional it is admitted in any case
     */
    boolean admit(long now, double rank, double serviceMicros, boolean unconditional) {
        refill(now);
        double required = Math.min(serviceMicros, LARGE_SHARE * capacity());
        boolean fits = limit > 0 && level - required >= RESERVED_SHARE * rank * capacity();
        if (fits) {
            level -= serviceMicros;
        } else if (unconditional) {
            // Its debt is bounded, so that unconditional requests can't shut out all others for long.
            level = Math.max(Math.min(level, -capacity()), level - serviceMicros);
        }
        return fits || unconditional;
    }

    // A clock that steps back adds nothing.
    private void refill(long now) {
        level = Math.min(capacity(), level + limit * Math.max(0, now - updatedAt));
        updatedAt = Math.max(updatedAt, now);
    }
}
