package pewtercourse.discovery;

import java.util.random.RandomGenerator;

/**
 * Delays between attempts to reconnect, by decorrelated jitter (M. Brooker, "Exponential Backoff and Jitter", AWS
 * Architecture Blog, 2015): each is drawn between the shortest delay and a multiple of the one before. A fleet of
 * directors loses the control feed at one instant and must not reconnect to it in step. Not thread-safe.
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

    /** The next delay in milliseconds. */
    long nextDelayMs() {
        long drawnMs = random.nextLong(MIN_DELAY_MS, GROWTH_FACTOR * previousDelayMs + 1);
        previousDelayMs = Math.min(MAX_DELAY_MS, drawnMs);
        return previousDelayMs;
    }

    /** Starts over with the shortest delays, after an attempt that was of use. */
    void reset() {
        previousDelayMs = MIN_DELAY_MS;
    }
}
