package pewtercourse.decision;

/** Which caches are thought to hold which segments, from the answers that were seen. */
final class ContentHints {
    /** Microseconds: about as long as an unused copy stays in a busy cache. */
    private static final long MAX_AGE = 12_000_000;

    private final RoutingContext context;
    private final PurgeLog purges;
    private final LruTable<Long> lastHeldAt = new LruTable<>();

    ContentHints(RoutingContext context, PurgeLog purges) {
        this.context = context;
        this.purges = purges;
    }

    boolean isLikelyHeld(RequestState request, EndpointState cache) {
        Long heldAt = lastHeldAt.get(key(request, cache));
        long lifetime = request.requestClass.freshnessLifetime();
        long maxAge = lifetime > 0 ? Math.min(MAX_AGE, lifetime) : MAX_AGE;
        return heldAt != null
                && context.now() - heldAt < maxAge
                && heldAt > purges.lastPurge(request)
                && heldAt >= cache.endpoint().startedAt();
    }

    /** A hit does not tell the age of a copy that gets stale: half its lifetime is assumed where it was not known. */
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
