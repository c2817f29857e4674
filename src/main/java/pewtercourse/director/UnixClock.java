package pewtercourse.director;

import java.time.Instant;
import java.util.function.LongSupplier;

/** The system's Unix clock in microseconds, held where it would go back. */
final class UnixClock implements LongSupplier {
    private long last;

    @Override
    public long getAsLong() {
        Instant i = Instant.now();
        last = Math.max(last, i.getEpochSecond() * 1_000_000 + i.getNano() / 1000);
        return last;
    }
}
