package pewtercourse.failover;

/**
 * Counts how recent attempts at a site's caches ended.
 *
 * @param onTime   answered in time
 * @param late     answered slowly, or turned away by the cache for lack of capacity
 * @param failed   failed, or got no answer at all
 * @param rejected requests that the site's own routing engine rejected for lack of capacity, before any attempt
 */
public record AttemptCounts(int onTime, int late, int failed, int rejected) {
    /** Counts without any attempt or rejection. */
    public static final AttemptCounts NONE = new AttemptCounts(0, 0, 0, 0);

    // Fewer completed attempts or rejected requests than these are not enough to assess a site.
    private static final int MIN_COMPLETED = 4;
    private static final int MIN_REJECTED = 8;
    // Caches count as failing from the first share of failed attempts on, and as healthy up to the second.
    private static final double MIN_FAILING_SHARE = 0.8;
    private static final double MAX_HEALTHY_FAILED_SHARE = 0.25;
    // A site counts as slow from this share of late answers on.
    private static final double MIN_SLOW_SHARE = 0.7;

    /** The number of attempts that ended, whatever their result. */
    public int completed() {
        return onTime + late + failed;
    }

    /** The number of late attempts and rejected requests: none failed, but none got an answer in time. */
    int delayed() {
        return late + rejected;
    }

    /** The number of completed attempts and rejected requests. */
    int total() {
        return completed() + rejected;
    }

    AttemptCounts plus(AttemptCounts other) {
        return new AttemptCounts(
                onTime + other.onTime, late + other.late, failed + other.failed, rejected + other.rejected);
    }

    /** Whether enough attempts have completed to assess the site. */
    boolean hasEnoughCompleted() {
        return completed() >= MIN_COMPLETED;
    }

    /**
     * Whether these counts suffice to assess the site. A few failed attempts also suffice if none succeeded and many
     * requests were rejected, because a routing engine soon stops trying dead caches.
     */
    boolean conclusive() {
        return hasEnoughCompleted() || failed > 0 && onTime + late == 0 && rejected >= MIN_REJECTED;
    }

    boolean mostFailed() {
        return failed >= MIN_FAILING_SHARE * completed();
    }

    boolean fewFailed() {
        return failed <= MAX_HEALTHY_FAILED_SHARE * completed();
    }

    boolean mostLate() {
        return late >= MIN_SLOW_SHARE * (onTime + late);
    }
}
