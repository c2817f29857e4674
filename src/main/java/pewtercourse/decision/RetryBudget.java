package pewtercourse.decision;

/** Limits retries to a share of the requests, so that retries don't aggravate an overload. */
final class RetryBudget {
    /** Retries that each request adds to the budget. */
    private static final double EARNED_PER_REQUEST = 0.2;
    /** Maximum retries that the budget accumulates. */
    private static final double MAX_AVAILABLE = 20;

    private double availableRetries = MAX_AVAILABLE;

    void onRequest() {
        availableRetries = Math.min(MAX_AVAILABLE, availableRetries + EARNED_PER_REQUEST);
    }

    boolean hasRetry() {
        return availableRetries >= 1;
    }

    void spend() {
        availableRetries--;
    }
}
