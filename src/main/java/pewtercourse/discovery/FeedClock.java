package pewtercourse.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Converts the Unix timestamps of the control feed into ages on the director's monotonic clock. The feed's time is inferred
 * from the latest timestamps that it has sent, so that an age is less than the real one by the delay of the fastest event.
 * Clocks may be stepped: an event whose timestamp does not fit counts as new, and after several of them the inferred time
 * follows. The director's own wall clock only limits the first estimate. Confined to the event loop; times are microseconds
 * unless stated otherwise.
 */
public final class FeedClock {
    /** An event that seems to have been on the way for longer, or to come from further in the future, counts as new. */
    static final long MAX_PLAUSIBLE_DELAY = TimeUnit.SECONDS.toMicros(2);

    /** Purges are announced in the order of their timestamps, but for differences in their delays up to this. */
    static final long MAX_REORDERING = TimeUnit.SECONDS.toMicros(1);

    /** Number of successive purges with timestamps that don't fit after which the feed's clock counts as stepped. */
    static final int STEP_CONFIRMATIONS = 3;

    private static final long MICROS_PER_MILLI = 1_000;

    private boolean synchronised;
    private boolean followsFeed; // Whether a purge of the feed itself, not only of the initial events, was seen.
    private long offset; // Monotonic time minus the feed's Unix time, at the most.
    private long latestPurgedAt = Long.MIN_VALUE; // Unix time.
    private int unfittingPurges;

    /**
     * Infers the feed's time from the initial events.
     *
     * @param latestMs latest timestamp of these events, in Unix milliseconds; 0 if there is none
     * @param wallClockMs the director's wall clock; a feed that seems to be ahead of it is not believed
     */
    public void start(long now, long latestMs, long wallClockMs) {
        synchronised = latestMs > 0;
        offset = now - Math.min(latestMs, wallClockMs) * MICROS_PER_MILLI;
    }

    /** Returns how long ago something that an initial event tells of happened. */
    public long ageInInitialEvent(long now, long unixMs) {
        return synchronised ? Math.max(0, now - unixMs * MICROS_PER_MILLI - offset) : 0;
    }

    /** Returns how long ago an endpoint that the feed lists now was started. */
    public long ageOfStart(long now, long startedMs) {
        long age = ageInInitialEvent(now, startedMs);
        return age <= MAX_PLAUSIBLE_DELAY ? age : 0;
    }

    /** Returns how long ago a purge that the feed announces now was ordered. */
    public long ageOfPurge(long now, long purgedMs) {
        long purgedAt = purgedMs * MICROS_PER_MILLI;
        if (!fits(now, purgedAt)) {
            onUnfittingPurge(now, purgedAt);
            return 0;
        }
        unfittingPurges = 0;
        follow(Math.min(offset, now - purgedAt), Math.max(latestPurgedAt, purgedAt));
        return now - purgedAt - offset;
    }

    private boolean fits(long now, long purgedAt) {
        long age = now - purgedAt - offset;
        boolean inOrder = latestPurgedAt == Long.MIN_VALUE || purgedAt >= latestPurgedAt - MAX_REORDERING;
        boolean tooFarAhead = followsFeed && age < -MAX_PLAUSIBLE_DELAY;
        return synchronised && inOrder && !tooFarAhead && age <= MAX_PLAUSIBLE_DELAY;
    }

    private void onUnfittingPurge(long now, long purgedAt) {
        unfittingPurges++;
        if (!synchronised || unfittingPurges >= STEP_CONFIRMATIONS) {
            unfittingPurges = 0;
            follow(now - purgedAt, purgedAt);
        }
    }

    private void follow(long newOffset, long purgedAt) {
        synchronised = true;
        followsFeed = true;
        offset = newOffset;
        latestPurgedAt = purgedAt;
    }
}
