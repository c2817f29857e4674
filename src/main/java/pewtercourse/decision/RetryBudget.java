package pewtercourse.decision;

/** Limits retries to a share of the requests, so that retries don't aggravate an overload. */
final class RetryBudget {
    /** Retries that each request adds to the budget. */
    private static final double EARNED_PER_REQUEST = 0.2;
    /** Maximum retries that the budget can accumulate. */
    private static final double MAX_SAVED = 20;

    private double saved = MAX_SAVED;

    void onRequest() {
        saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
    }

    boolean hasRetry() {
        return saved >= 1;
    }

    void spend() {
        saved--;
    }
}
