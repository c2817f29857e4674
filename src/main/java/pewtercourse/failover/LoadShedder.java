package pewtercourse.failover;

/**
 * Admits requests to one failover target up to an agreed load. The limit is a token bucket of service time. Requests of
 * lower priority must leave a larger part of the bucket (trunk reservation; Kelly, "Loss Networks", 1991), so they are
 * shed first as the bucket empties. Times are in microseconds.
 */
final class LoadShedder {
    // The bucket's capacity is the service time that the full load uses in this time.
    private static final double BURST_MICROS = 1_000_000;
    // Requests of the lowest priority must leave this share of the bucket's capacity.
    private static final double RESERVED_SHARE = 0.8;
    // A request needs at most this share of the bucket to be admitted, however large it is; otherwise a large
    // request could never be admitted. The level may become negative because the full service time is deducted.
    private static final double MAX_REQUIRED_SHARE = 0.2;

    private double transferLimit;
    private double levelMicros;
    private long updatedAt;

    LoadShedder(long now) {
        updatedAt = now;
    }

    /** Sets the average number of concurrent transfers to admit. A limit that follows a limit of 0 fills the bucket. */
    void setLimit(double maxTransfers) {
        boolean wasZero = transferLimit == 0;
        transferLimit = maxTransfers;
        levelMicros = wasZero ? capacityMicros() : Math.min(levelMicros, capacityMicros());
    }

    private double capacityMicros() {
        return BURST_MICROS * transferLimit;
    }

    /**
     * Decides whether to admit a request, and deducts its service time if so.
     *
     * @param rank          0 for the highest priority, 1 for the lowest
     * @param serviceMicros how long the response takes to send
     * @param unconditional whether the request is always admitted
     */
    boolean admit(long now, double rank, double serviceMicros, boolean unconditional) {
        refill(now);
        double requiredMicros = Math.min(serviceMicros, MAX_REQUIRED_SHARE * capacityMicros());
        boolean fits = transferLimit > 0 && levelMicros - requiredMicros >= RESERVED_SHARE * rank * capacityMicros();
        if (fits) {
            levelMicros -= serviceMicros;
        } else if (unconditional) {
            // The negative level is bounded so that unconditional requests can't block all others for long.
            levelMicros = Math.max(Math.min(levelMicros, -capacityMicros()), levelMicros - serviceMicros);
        }
        return fits || unconditional;
    }

    // A clock that steps back does not change the level.
    private void refill(long now) {
        levelMicros = Math.min(capacityMicros(), levelMicros + transferLimit * Math.max(0, now - updatedAt));
        updatedAt = Math.max(updatedAt, now);
    }
}
