package pewtercourse.decision;

/**
 * Limits on retries.
 *
 * @param maxRetryAfter longest delay in microseconds that rejected clients can be advised to wait
 * @param maxAttempts maximum attempts of one request, including the first
 */
public record RetryLimits(long maxRetryAfter, int maxAttempts) {}
