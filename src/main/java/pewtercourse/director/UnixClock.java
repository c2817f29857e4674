package pewtercourse.director;

import java.time.Instant;
import java.util.function.LongSupplier;

/** The system clock in Unix microseconds; it stands still while the system clock is set back. */
final class UnixClock implements LongSupplier {
    private long last;

    @Override
    public long getAsLong() {
        Instant now = Instant.now();
        last = Math.max(last, now.getEpochSecond() * 1_000_000 + now.getNano() / 1000);
        return last;
    }
}
