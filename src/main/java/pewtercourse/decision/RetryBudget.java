package pewtercourse.decision;

/** Retries earn their right from first attempts, so that they don't feed an overload. */
final class RetryBudget {
    /** Retries that each request earns. */
    private static final double EARNED_PER_REQUEST = 0.2;
    /** Retries that may be saved up. */
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
