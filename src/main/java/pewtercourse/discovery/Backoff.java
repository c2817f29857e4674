package pewtercourse.discovery;

import java.util.random.RandomGenerator;

/**
 * Computes delays between attempts to reconnect by decorrelated jitter (M. Brooker, "Exponential Backoff and Jitter",
 * AWS Architecture Blog, 2015): each delay is drawn between the minimum and a multiple of the previous delay. All
 * directors lose the control feed at the same time and must not reconnect at the same time. Not thread-safe.
 */
final class Backoff {
    private static final long MIN_DELAY_MS = 50;
    private static final long MAX_DELAY_MS = 500;
    private static final long GROWTH_FACTOR = 3;

    private final RandomGenerator random;
    private long previousDelayMs = MIN_DELAY_MS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next delay in milliseconds. */
    long nextDelayMs() {
        long drawnMs = random.nextLong(MIN_DELAY_MS, GROWTH_FACTOR * previousDelayMs + 1);
        previousDelayMs = Math.min(MAX_DELAY_MS, drawnMs);
        return previousDelayMs;
    }

    /** Returns to the shortest delays, after a successful attempt. */
    void reset() {
        previousDelayMs = MIN_DELAY_MS;
    }
}
