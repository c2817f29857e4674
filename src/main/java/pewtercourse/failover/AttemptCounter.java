package pewtercourse.failover;

import pewtercourse.cache.AttemptResult;

/** Counts requests and attempts at one site's caches in one half of the observed window. */
final class AttemptCounter {
    private int onTime;
    private int late;
    private int failed;
    private int rejected;
    private double serviceMicros;

    /** Service time of all requests. */
    double serviceMicros() {
        return serviceMicros;
    }

    AttemptCounts counts() {
        return new AttemptCounts(onTime, late, failed, rejected);
    }

    void addRequest(double micros) {
        serviceMicros += micros;
    }

    void addRejection() {
        rejected++;
    }

    void addAttempt(AttemptResult end, boolean slow) {
        switch (end) {
            case SERVED, NOT_MODIFIED, MISS -> addAnswer(slow);
            case FULL -> late++;
            case CANCELLED -> late += slow ? 1 : 0;
            case REFUSED, CONNECT_TIMEOUT, RESET, MALFORMED, TIMEOUT -> failed++;
            // What the origin or this director may have caused says nothing of the site.
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
