package pewtercourse;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts microseconds on the system's monotonic clock, which no step of the wall clock affects. Values are comparable only
 * within one process.
 */
public final class MonotonicClock implements LongSupplier {
    /** Value at the creation, so that times some weeks before it are positive too. */
    public static final long START_MICROS = TimeUnit.DAYS.toMicros(30);

    private static final long NANOS_PER_MICRO = 1_000;

    private final long createdNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return START_MICROS + (System.nanoTime() - createdNanos) / NANOS_PER_MICRO;
    }
}
