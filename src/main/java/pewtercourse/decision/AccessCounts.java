package pewtercourse.decision;

import java.util.Optional;

/** Counts accesses by object, and tells by them on how many caches an object is kept and how long. */
final class AccessCounts {
    /** Share of one cache's part of all accesses that is worth one more replica. */
    private static final double REPLICA_SHARE = 0.10;
    /** Least accesses for one more replica, so that a fresh router doesn't spread what it knows little of. */
    private static final double MIN_REPLICA_ACCESSES = 4;
    /** Replicas of one object at most; one cache of the zone always stays out. */
    private static final int MAX_REPLICAS = 3;
    /** Accesses by log2 of kilobytes from which a copy gets retention rank 2, and rank 3. */
    private static final double RANK_2 = 0.25;

    private static final double RANK_3 = 1.0;
    /** Log2 of kilobytes that is taken where no size is told. */
    private static final double DEFAULT_LOG_SIZE = 8;

    private final RoutingContext context;
    private final LruTable<AccessCount> counts = new LruTable<>();
    private final AccessCount all = new AccessCount();

    AccessCounts(RoutingContext context) {
        this.context = context;
    }

    AccessCount of(long object) {
        return of(counts, object, context.now());
    }

    static AccessCount of(LruTable<AccessCount> table, long object, long now) {
        return table.computeIfAbsent(object, o -> new AccessCount()).decay(now);
    }

    /**
     * Counts a request and gives it its turn; returns the object's count if it has grown. It grows at most once in a batch
     * of events: what a stall has piled up comes as one batch and would make quiet objects look popular. Retries of clients
     * are not accesses.
     */
    Optional<AccessCount> record(RequestState request) {
        AccessCount count = of(request.objectHash);
        count.segments = Math.max(count.segments, request.arrival.segment() + 1);
        request.turn =
                request.requestClass.segmented() ? request.arrival.segment() : count.nextTurn++ & AccessCount.MAX - 1;
        if (count.lastBatch == context.batch() || request.arrival.clientRetry()) {
            return Optional.empty();
        }
        count.lastBatch = context.batch();
        if (count.local < AccessCount.MAX) {
            count.local++;
            count.unreported++;
        }
        all.decay(context.now()).local++;
        return Optional.of(count);
    }

    /** Takes over what the owner of a count told, if the object is still known. */
    void setTotal(long object, int total) {
        if (counts.containsKey(object)) {
            of(object).total = total;
        }
    }

    /** On how many caches along its placement order an object is kept. */
    int replicas(long object, int caches) {
        AccessCount count = of(object);
        double seen = all.decay(context.now()).local;
        double perReplica =
                Math.max(MIN_REPLICA_ACCESSES, REPLICA_SHARE * seen * context.routersInZone() / Math.max(1, caches));
        int most = Math.min(MAX_REPLICAS, caches - 1);
        double wanted = accessesInZone(count) * Math.min(count.segments, MAX_REPLICAS) / perReplica;
        return Math.max(1, Math.min(most, 1 + (int) wanted));
    }

    /** How much a copy is worth to the cache that stores it: 1 to 3, or 0 for what is not stored. */
    int retentionRank(RequestState request) {
        if (!request.isCacheable()) {
            return 0;
        }
        AccessCount count = of(request.objectHash);
        double sizeKb = request.arrival.sizeKb();
        double logSize = sizeKb > 0 ? Math.log(4 + sizeKb) / Math.log(2) : DEFAULT_LOG_SIZE;
        double value = accessesInZone(count) / count.segments / logSize;
        if (value >= RANK_3) {
            return 3;
        }
        return value >= RANK_2 ? 2 : 1;
    }

    // What this router saw and, but for the first access, which tells nothing of others, as many at each further router
    // of
    // the zone; or the zone's part of what the owner of the count last told.
    private double accessesInZone(AccessCount count) {
        int routersInZone = context.routersInZone();
        double extrapolated = count.local + Math.max(0, count.local - 1) * (routersInZone - 1.0);
        int routers = Math.max(1, context.settings().topology().routers());
        return Math.max(extrapolated, (double) count.total * routersInZone / routers);
    }
}
