package pewtercourse.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers purges for as long as a cache may still hold a copy from before the purge. */
final class PurgeLog {
    /** Returned by {@link #lastPurge} if no purge is remembered. */
    static final long NEVER = Long.MIN_VALUE;
    /** Time that a purge is remembered beyond its propagation. */
    private static final long MARGIN_MICROS = 2 * Housekeeping.INTERVAL_MICROS;

    private final RoutingContext context;
    private final Map<Long, Long> purgedAt = new LinkedHashMap<>();

    PurgeLog(RoutingContext context) {
        this.context = context;
    }

    /** Records a purge. Duplicate and reordered purges do no harm; a purge reported by mistake costs fills. */
    void record(ContentPurged purge) {
        long key = purge.object() != null ? Hashing.hash(purge.object()) : groupKey(purge.purgeGroup());
        purgedAt.merge(key, context.now() - purge.age(), Math::max);
    }

    /** Returns when the request's object was last purged, or {@link #NEVER}. */
    long lastPurge(RequestState request) {
        return Math.max(
                purgedAt.getOrDefault(request.objectHash, NEVER),
                purgedAt.getOrDefault(groupKey(request.arrival.purgeGroup()), NEVER));
    }

    /**
     * Returns the maximum acceptable age of a copy in microseconds. It is at least 1, because 0 means that any
     * age is acceptable.
     */
    long maxCopyAge(RequestState request) {
        long purge = lastPurge(request);
        if (purge == NEVER) {
            return 0;
        }
        long age = Math.max(1, context.now() - purge);
        long lifetime = request.requestClass.freshnessLifetime();
        return lifetime > 0 ? Math.min(age, lifetime) : age;
    }

    void expire() {
        long retention = context.settings().purgePropagation() + MARGIN_MICROS;
        purgedAt.values().removeIf(purgeTime -> context.now() - purgeTime > retention);
    }

    private static long groupKey(int group) {
        return Hashing.mix(~(long) group);
    }
}
