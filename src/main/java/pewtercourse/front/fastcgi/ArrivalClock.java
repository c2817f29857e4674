package pewtercourse.front.fastcgi;

import java.util.function.LongSupplier;
import pewtercourse.Timers;

/**
 * Tells when bytes that are read now have arrived, at the earliest. After a stall of the process (SIGSTOP, a long garbage
 * collection, no processor) they may have waited since its beginning, and the clients' deadlines ran on. Confined to the
 * event loop; times are microseconds of the given clock.
 */
final class ArrivalClock implements LongSupplier {
    private static final long HEARTBEAT_MS = 20;
    /** A heartbeat that is older than this shows a stall. */
    private static final long MAX_HEARTBEAT_AGE = 60_000;

    private static final long NOT_STALLED = Long.MAX_VALUE;

    private final LongSupplier clock;
    private final Timers timers;
    private long lastHeartbeat;
    private long stalledSince = NOT_STALLED;
    private boolean stopped;

    ArrivalClock(LongSupplier clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
        this.lastHeartbeat = clock.getAsLong();
        beat();
    }

    private void beat() {
        long now = clock.getAsLong();
        // The event loop may run timers first after a stall; it has read all that waited by the next heartbeat.
        stalledSince = now - lastHeartbeat > MAX_HEARTBEAT_AGE ? lastHeartbeat : NOT_STALLED;
        lastHeartbeat = now;
        if (!stopped) {
            timers.set(HEARTBEAT_MS, this::beat);
        }
    }

    /** Stops the heartbeat; the clock is not used afterwards. */
    void stop() {
        stopped = true;
    }

    @Override
    public long getAsLong() {
        long now = clock.getAsLong();
        return now - lastHeartbeat > MAX_HEARTBEAT_AGE ? lastHeartbeat : Math.min(now, stalledSince);
    }
}
