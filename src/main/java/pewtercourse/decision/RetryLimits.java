package pewtercourse.decision;

/**
 * Limits of retries.
 *
 * @param maxRetryAfter longest advice in microseconds that rejected clients follow
 * @param maxAttempts of one request, with the first
 */
public record RetryLimits(long maxRetryAfter, int maxAttempts) {}
