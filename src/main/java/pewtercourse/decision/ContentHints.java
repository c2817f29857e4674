package pewtercourse.decision;

/** Remembers which caches probably hold which segments, based on the answers seen. */
final class ContentHints {
    /** About as long as an unused copy stays in a busy cache. */
    private static final long MAX_HINT_AGE_MICROS = 12_000_000;

    private final RoutingContext context;
    private final PurgeLog purges;
    /** When a cache was last known to hold a segment, by {@link #key}. */
    private final LruTable<Long> lastHeldAt = new LruTable<>();

    ContentHints(RoutingContext context, PurgeLog purges) {
        this.context = context;
        this.purges = purges;
    }

    /** Whether the cache probably holds the segment, in a copy that may still be used. */
    boolean isLikelyHeld(RequestState request, EndpointState cache) {
        Long heldAt = lastHeldAt.get(key(request, cache));
        long lifetime = request.requestClass.freshnessLifetime();
        long maxAge = lifetime > 0 ? Math.min(MAX_HINT_AGE_MICROS, lifetime) : MAX_HINT_AGE_MICROS;
        return heldAt != null
                && context.now() - heldAt < maxAge
                && heldAt > purges.lastPurge(request)
                && heldAt >= cache.endpoint().startedAt();
    }

    /**
     * Records that the cache holds the segment. A hit does not show how old the copy is. If the age is unknown
     * and copies of the class have a freshness lifetime, half of the lifetime is assumed to have passed.
     */
    void recordHeld(RequestState request, EndpointState cache, boolean hit) {
        long lifetime = request.requestClass.freshnessLifetime();
        if (hit && lifetime > 0) {
            lastHeldAt.putIfAbsent(key(request, cache), context.now() - lifetime / 2);
        } else {
            lastHeldAt.put(key(request, cache), context.now());
        }
    }

    void forget(RequestState request, EndpointState cache) {
        lastHeldAt.remove(key(request, cache));
    }

    private static long key(RequestState request, EndpointState cache) {
        return Hashing.mix(request.segmentHash ^ Hashing.mix(cache.id()));
    }
}
