package pewtercourse.director;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import pewtercourse.discovery.FeedClock;

/**
 * When endpoints were started, on the director's monotonic clock. A start is converted once, when it is first heard of, and
 * keeps its time even if the endpoint leaves the list and returns. Confined to the event loop; times are microseconds.
 */
final class StartTimes {
    private static final int MAX_ENDPOINTS = 8_192;

    /** A start as it was named, in Unix milliseconds, and on the monotonic clock. */
    private record Start(long unixMs, long startedAt) {}

    private final FeedClock feedClock;
    private final LongSupplier clock;
    private final Map<Long, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };
    private boolean readsInitialEvents;

    StartTimes(FeedClock feedClock, LongSupplier clock) {
        this.feedClock = feedClock;
        this.clock = clock;
    }

    /** Sets whether the events that are read now are those of the configuration. */
    void setReadsInitialEvents(boolean reads) {
        readsInitialEvents = reads;
    }

    /**
     * Returns when an endpoint started; 0 if that is long ago.
     *
     * @param listedMs start that the control feed lists, in Unix milliseconds; 0 if there is none
     * @param lastStartMs the same, or the time of a later reinstatement by an operator
     */
    long startedAt(long endpointId, long listedMs, long lastStartMs) {
        if (lastStartMs <= 0) {
            starts.remove(endpointId);
            return 0;
        }
        Start known = starts.get(endpointId);
        if (known == null || known.unixMs() != lastStartMs) {
            known = new Start(lastStartMs, convert(listedMs, lastStartMs));
            starts.put(endpointId, known);
        }
        return known.startedAt();
    }

    private long convert(long listedMs, long lastStartMs) {
        long now = clock.getAsLong();
        if (lastStartMs != listedMs) {
            return now; // An operator's time is that of some wall clock.
        }
        long age =
                readsInitialEvents ? feedClock.ageInInitialEvent(now, listedMs) : feedClock.ageOfStart(now, listedMs);
        return Math.max(1, now - age);
    }
}
