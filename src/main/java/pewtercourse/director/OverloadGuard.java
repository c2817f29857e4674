package pewtercourse.director;

/**
 * Rejects requests that were read too late to be served, so that the director's time goes to those that can be served. A
 * request is rejected if its client's time is over, or if it has waited for over a quarter of that time while all requests
 * read lately have: then the event loop is behind for longer than a burst lasts, and who waits longest has the least chance.
 * Knows no sockets; times are microseconds of the caller's clock.
 */
final class OverloadGuard {
    /** What has waited since before is a burst unless the waits stay long for this time. */
    static final long INTERVAL_MICROS = 100_000;

    /** A wait up to this does not show that the event loop is behind. */
    static final long ORDINARY_WAIT_MICROS = 50_000;

    private static final int MAX_WAIT_DIVISOR = 4;

    private long intervalStart;
    private long shortestWait = Long.MAX_VALUE;
    private long shortestWaitBefore;
    private long rejections;

    /**
     * Whether a request that is read now should be served.
     *
     * @param arrivedAt the earliest time at which it may have arrived
     * @param patienceMicros how long its client waits from then on
     */
    boolean admits(long now, long arrivedAt, long patienceMicros) {
        long waited = now - arrivedAt;
        recordWait(now, waited);
        long maxWait = Math.max(ORDINARY_WAIT_MICROS, patienceMicros / MAX_WAIT_DIVISOR);
        boolean admitted = waited < patienceMicros && (waited <= maxWait || standingWait() <= maxWait);
        rejections += admitted ? 0 : 1;
        return admitted;
    }

    private void recordWait(long now, long waited) {
        if (now - intervalStart >= INTERVAL_MICROS) {
            // After a longer time without a request no wait is known.
            shortestWaitBefore = now - intervalStart < 2 * INTERVAL_MICROS ? shortestWait : 0;
            shortestWait = Long.MAX_VALUE;
            intervalStart = now;
        }
        shortestWait = Math.min(shortestWait, waited);
    }

    // The shortest wait of the requests that were read in this interval and in the one before.
    private long standingWait() {
        return Math.min(shortestWait, shortestWaitBefore);
    }

    /** Number of requests that were rejected. */
    long rejections() {
        return rejections;
    }
}
