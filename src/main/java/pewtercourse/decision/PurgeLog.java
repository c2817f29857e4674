package pewtercourse.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers purges for as long as a cache may still hold a copy from before. */
final class PurgeLog {
    /** No purge is remembered. */
    static final long NEVER = Long.MIN_VALUE;
    /** Microseconds that a purge is remembered beyond its propagation. */
    private static final long MARGIN = 2 * Housekeeping.INTERVAL;

    private final RoutingContext context;
    private final Map<Long, Long> purgedAt = new LinkedHashMap<>();

    PurgeLog(RoutingContext context) {
        this.context = context;
    }

    /** A purge that is told twice or out of order does no harm; one that is told wrongly costs fills. */
    void record(ContentPurged purge) {
        long key = purge.object() != null ? Hashing.hash(purge.object()) : groupKey(purge.purgeGroup());
        purgedAt.merge(key, context.now() - purge.age(), Math::max);
    }

    /** When the request's object was last purged, or {@link #NEVER}. */
    long lastPurge(RequestState request) {
        return Math.max(
                purgedAt.getOrDefault(request.objectHash, NEVER),
                purgedAt.getOrDefault(groupKey(request.arrival.purgeGroup()), NEVER));
    }

    /** Largest age of a copy that will do, in microseconds: at least 1, as 0 stands for any age. */
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
        long remembered = context.settings().purgePropagation() + MARGIN;
        purgedAt.values().removeIf(at -> context.now() - at > remembered);
    }

    private static long groupKey(int group) {
        return Hashing.mix(~(long) group);
    }
}
