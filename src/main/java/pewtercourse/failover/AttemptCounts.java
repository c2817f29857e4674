package pewtercourse.failover;

/**
 * How attempts at a site's caches ended in the last seconds.
 *
 * @param onTime   answered in time
 * @param late     answered, but slowly or not for lack of capacity
 * @param failed   failed, or never answered
 * @param rejected requests that the site's own routing engine rejected for lack of capacity, before any attempt
 */
public record AttemptCounts(int onTime, int late, int failed, int rejected) {
    /** No attempt at all. */
    public static final AttemptCounts NONE = new AttemptCounts(0, 0, 0, 0);

    // Fewer attempts than these prove nothing.
    private static final int MIN_COMPLETED = 4;
    private static final int MIN_REJECTED = 8;
    // Shares of failed attempts from which caches count as failing, and up to which they count as healthy.
    private static final double FAILING_SHARE = 0.8;
    private static final double HEALTHY_SHARE = 0.25;
    // Share of late answers from which a site counts as slow.
    private static final double SLOW_SHARE = 0.7;

    /** Attempts that ended one way or the other. */
    public int completed() {
        return onTime + late + failed;
    }

    /** Requests that got no timely answer though nothing failed: late and rejected ones. */
    int delayed() {
        return late + rejected;
    }

    /** Completed attempts and rejected requests together. */
    int total() {
        return completed() + rejected;
    }

    AttemptCounts plus(AttemptCounts other) {
        return new AttemptCounts(
                onTime + other.onTime, late + other.late, failed + other.failed, rejected + other.rejected);
    }

    /** Whether enough attempts ended to judge the site by them. */
    boolean enoughCompleted() {
        return completed() >= MIN_COMPLETED;
    }

    /**
     * Whether these counts say anything of the site. Few failed attempts do, too, where all other requests were
     * rejected: a routing engine soon stops trying dead caches.
     */
    boolean conclusive() {
        return enoughCompleted() || failed > 0 && onTime + late == 0 && rejected >= MIN_REJECTED;
    }

    boolean mostFailed() {
        return failed >= FAILING_SHARE * completed();
    }

    boolean fewFailed() {
        return failed <= HEALTHY_SHARE * completed();
    }

    boolean mostLate() {
        return late >= SLOW_SHARE * (onTime + late);
    }
}
