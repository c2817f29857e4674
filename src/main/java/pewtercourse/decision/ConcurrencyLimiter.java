package pewtercourse.decision;

/**
 * Limits how many attempts may be in flight at once. The limit is learned: it grows by a constant when answers come well
 * within their objective and shrinks by a factor when they come late (additive increase, multiplicative decrease). Past
 * the limit more work would only make all of it late. After a fault that made answers late for another reason it takes
 * some answers until the limit has grown again.
 */
final class ConcurrencyLimiter {
    /** Attempts in flight that all routers of a zone together admit at their start. */
    private static final double INITIAL_LIMIT = 16;
    /** The same at least, however late the answers come. */
    private static final double MIN_LIMIT = 2;
    /** Growth for an answer well within its objective. */
    private static final double INCREASE = 0.2;
    /** Share by which one router of one shrinks it. */
    private static final double DECREASE = 0.1;
    /** Largest share by which any router shrinks it. */
    private static final double MAX_DECREASE = 0.4;
    /** Microseconds between two decreases. */
    private static final long DECREASE_INTERVAL = 100_000;
    /** The limit grows only while at least this share of it is in use. */
    private static final double MIN_UTILIZATION = 0.5;
    /** This share of the limit is open to a request of any size. */
    private static final double ANY_SIZE_SHARE = 0.2;
    /** Weight of the newest answer in the share of slow ones. */
    private static final double SLOW_GAIN = 0.05;
    /** Share of slow answers from which large requests are shed first. */
    private static final double STRAINED_SHARE = 0.3;
    /** Multiple of the mean size that is not yet large while the limiter is not strained. */
    private static final double LARGE_UNSTRAINED = 4;

    private double limit;
    private double inFlight;
    private double slowShare;
    private long lastDecreaseAt;

    /** The share of a zone's requests that comes to one router varies by chance, hence the root. */
    ConcurrencyLimiter(int routersInZone) {
        limit = INITIAL_LIMIT / Math.sqrt(routersInZone);
    }

    /**
     * Whether one more attempt is admitted. The larger a request is for its class, the sooner it is shed: the capacity
     * serves more of the others. Without strain only what is far larger is: the limit follows its use, so that large
     * requests would be shed for good where all goes well.
     *
     * @param relativeSize transfer time as a multiple of its class's mean
     */
    boolean admits(double relativeSize) {
        double large = slowShare > STRAINED_SHARE ? 1 : LARGE_UNSTRAINED;
        return inFlight < limit * Math.max(ANY_SIZE_SHARE, Math.min(1, large / relativeSize));
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

    /** Counts an answer for the share of slow ones. */
    void recordSpeed(boolean slow) {
        slowShare += SLOW_GAIN * ((slow ? 1 : 0) - slowShare);
    }

    /** Each router sees only its part of the late answers and shrinks the more, the more routers there are. */
    void adapt(long now, int routersInZone, boolean wellWithinObjective, boolean late) {
        if (late && now - lastDecreaseAt > DECREASE_INTERVAL) {
            lastDecreaseAt = now;
            double decrease = Math.min(MAX_DECREASE, DECREASE * Math.sqrt(routersInZone));
            limit = Math.max(MIN_LIMIT / routersInZone, limit * (1 - decrease));
        } else if (wellWithinObjective && inFlight + 1 > MIN_UTILIZATION * limit) {
            limit += INCREASE;
        }
    }
}
