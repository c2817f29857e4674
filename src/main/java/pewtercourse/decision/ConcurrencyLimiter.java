package pewtercourse.decision;

/**
 * Limits how many attempts may be in flight. The limit is learned by additive increase and multiplicative
 * decrease: it grows by a constant when answers come well within their objective and shrinks by a factor when
 * they come late. Work beyond the limit would only make all of it late. If a fault made answers late for another
 * reason, the limit needs some answers to grow back after it.
 */
final class ConcurrencyLimiter {
    /** Limit of a zone's only router at its start; see the constructor for zones with more routers. */
    private static final double INITIAL_LIMIT = 16;
    /** Minimum of the sum of the limits of all routers of a zone, however late the answers come. */
    private static final double MIN_LIMIT = 2;
    /** Growth of the limit for each answer well within its objective. */
    private static final double INCREASE = 0.2;
    /** Share by which the only router of a zone shrinks its limit. */
    private static final double DECREASE = 0.1;
    /** Maximum share by which any router shrinks its limit at once. */
    private static final double MAX_DECREASE = 0.4;
    /** Minimum time between two decreases. */
    private static final long DECREASE_INTERVAL_MICROS = 100_000;
    /** The limit grows only while at least this share of it is in use. */
    private static final double MIN_UTILIZATION = 0.5;
    /** Share of the limit that is open to requests of any size. */
    private static final double ANY_SIZE_SHARE = 0.2;
    /** Weight of the newest answer in the share of slow answers. */
    private static final double SLOW_GAIN = 0.05;
    /**
     * If the share of slow answers exceeds this value, the limiter is strained: it sheds requests above the mean
     * size first.
     */
    private static final double STRAINED_SHARE = 0.3;
    /** While the limiter is not strained, only requests above this multiple of the mean size are shed first. */
    private static final double LARGE_UNSTRAINED = 4;

    private double limit;
    private double inFlight;
    private double slowShare;
    private long lastDecreaseAt;

    /**
     * Divides the initial limit by the square root of the number of routers, because the share of a zone's
     * requests that one router gets varies by chance.
     */
    ConcurrencyLimiter(int routersInZone) {
        limit = INITIAL_LIMIT / Math.sqrt(routersInZone);
    }

    /**
     * Whether one more attempt is admitted. The larger a request is for its class, the earlier it is shed: the
     * same capacity serves more of the other requests. While the limiter is not strained, this applies only to
     * much larger requests: the limit follows its use, so large requests would be shed permanently even while
     * all goes well.
     *
     * @param relativeSize transfer time of the request as a multiple of the mean of its class
     */
    boolean admits(double relativeSize) {
        double minLargeSize = slowShare > STRAINED_SHARE ? 1 : LARGE_UNSTRAINED;
        return inFlight < limit * Math.max(ANY_SIZE_SHARE, Math.min(1, minLargeSize / relativeSize));
    }

    void acquire(double attempts) {
        inFlight += attempts;
    }

    void release(double attempts) {
        inFlight -= attempts;
    }

    double inFlight() {
        return inFlight;
    }

    double limit() {
        return limit;
    }

    /** Updates the share of slow answers. */
    void recordSpeed(boolean slow) {
        slowShare += SLOW_GAIN * ((slow ? 1 : 0) - slowShare);
    }

    /**
     * Adapts the limit to one answer. Each router sees only its part of the late answers, so a router shrinks
     * its limit more if the zone has more routers.
     */
    void adapt(long now, int routersInZone, boolean wellWithinObjective, boolean late) {
        if (late && now - lastDecreaseAt > DECREASE_INTERVAL_MICROS) {
            lastDecreaseAt = now;
            double decrease = Math.min(MAX_DECREASE, DECREASE * Math.sqrt(routersInZone));
            limit = Math.max(MIN_LIMIT / routersInZone, limit * (1 - decrease));
        } else if (wellWithinObjective && inFlight + 1 > MIN_UTILIZATION * limit) {
            limit += INCREASE;
        }
    }
}
