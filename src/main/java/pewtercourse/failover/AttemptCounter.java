package pewtercourse.failover;

import pewtercourse.cache.AttemptResult;

/** Counts the requests and the attempts at one site's caches in one half of the observation window. */
final class AttemptCounter {
    private int onTime;
    private int late;
    private int failed;
    private int rejected;
    private double serviceMicros;

    /** The total service time of all counted requests, in microseconds. */
    double serviceMicros() {
        return serviceMicros;
    }

    AttemptCounts counts() {
        return new AttemptCounts(onTime, late, failed, rejected);
    }

    void addRequest(double requestServiceMicros) {
        serviceMicros += requestServiceMicros;
    }

    void addRejection() {
        rejected++;
    }

    void addAttempt(AttemptResult result, boolean slow) {
        switch (result) {
            case SERVED, NOT_MODIFIED, MISS -> addAnswer(slow);
            case FULL -> late++;
            case CANCELLED -> late += slow ? 1 : 0;
            case REFUSED, CONNECT_TIMEOUT, RESET, MALFORMED, TIMEOUT -> failed++;
            // The origin or this director may have caused these results, so they are no evidence about the site.
            case ERROR, EXPIRED, OVERTAKEN, NO_DESCRIPTOR, CANCELLED_UNSENT -> {}
        }
    }

    private void addAnswer(boolean slow) {
        if (slow) {
            late++;
        } else {
            onTime++;
        }
    }
}
