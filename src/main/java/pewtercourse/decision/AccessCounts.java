package pewtercourse.decision;

import java.util.Optional;

/**
 * Counts accesses by object. From the counts it derives on how many caches an object is stored and which
 * retention rank its copies get.
 */
final class AccessCounts {
    /** An object gets one more replica each time its accesses grow by this share of a cache's mean accesses. */
    private static final double REPLICA_SHARE = 0.10;
    /**
     * Minimum accesses per additional replica, so that a newly started router doesn't replicate objects of which
     * it knows little.
     */
    private static final double MIN_REPLICA_ACCESSES = 4;
    /** Maximum replicas of one object. If the zone has several caches, at least one of them holds no replica. */
    private static final int MAX_REPLICAS = 3;
    /** Accesses per segment, divided by log2 of the size in kilobytes, from which a copy gets retention rank 2. */
    private static final double MIN_VALUE_FOR_RANK_2 = 0.25;
    /** The same for retention rank 3. */
    private static final double MIN_VALUE_FOR_RANK_3 = 1.0;
    /** Log2 of the size in kilobytes that is assumed if the size is unknown. */
    private static final double DEFAULT_LOG2_SIZE_KB = 8;

    private final RoutingContext context;
    private final LruTable<AccessCount> counts = new LruTable<>();
    /** All accesses at this router. */
    private final AccessCount allAccesses = new AccessCount();

    AccessCounts(RoutingContext context) {
        this.context = context;
    }

    AccessCount countOf(long object) {
        return countOf(counts, object, context.now());
    }

    static AccessCount countOf(LruTable<AccessCount> table, long object, long now) {
        return table.computeIfAbsent(object, hash -> new AccessCount()).decay(now);
    }

    /**
     * Counts a request and assigns its turn among the object's replicas. Returns the object's count if it has
     * grown. A count grows at most once per batch of events: requests that queued up during a stall arrive as
     * one batch and would make rarely requested objects look popular. Retries by clients are not accesses and
     * are not counted.
     */
    Optional<AccessCount> record(RequestState request) {
        AccessCount count = countOf(request.objectHash);
        count.segments = Math.max(count.segments, request.arrival.segment() + 1);
        request.replicaTurn = request.requestClass.segmented()
                ? request.arrival.segment()
                : count.nextTurn++ & AccessCount.MAX_COUNT - 1;
        if (count.lastBatch == context.batch() || request.arrival.clientRetry()) {
            return Optional.empty();
        }
        count.lastBatch = context.batch();
        if (count.local < AccessCount.MAX_COUNT) {
            count.local++;
            count.unreported++;
        }
        allAccesses.decay(context.now()).local++;
        return Optional.of(count);
    }

    /** Stores the total that an object's owner reported, if this router still counts the object. */
    void setTotal(long object, int total) {
        if (counts.containsKey(object)) {
            countOf(object).total = total;
        }
    }

    /** Returns on how many caches the object is stored, from the first in its placement order. */
    int replicas(long object, int caches) {
        AccessCount count = countOf(object);
        double localAccesses = allAccesses.decay(context.now()).local;
        double accessesPerReplica = Math.max(
                MIN_REPLICA_ACCESSES, REPLICA_SHARE * localAccesses * context.routersInZone() / Math.max(1, caches));
        int maxReplicas = Math.min(MAX_REPLICAS, caches - 1);
        double extraReplicas = accessesInZone(count) * Math.min(count.segments, MAX_REPLICAS) / accessesPerReplica;
        return Math.max(1, Math.min(maxReplicas, 1 + (int) extraReplicas));
    }

    /** Returns how valuable a copy is to the cache that stores it: 1 to 3, or 0 if the answer is not to be stored. */
    int retentionRank(RequestState request) {
        if (!request.isCacheable()) {
            return 0;
        }
        AccessCount count = countOf(request.objectHash);
        double sizeKb = request.arrival.sizeKb();
        double log2SizeKb = sizeKb > 0 ? Math.log(4 + sizeKb) / Math.log(2) : DEFAULT_LOG2_SIZE_KB;
        double value = accessesInZone(count) / count.segments / log2SizeKb;
        if (value >= MIN_VALUE_FOR_RANK_3) {
            return 3;
        }
        return value >= MIN_VALUE_FOR_RANK_2 ? 2 : 1;
    }

    // Estimates the accesses in the zone as the larger of two values. The first extrapolates this router's
    // count: each other router of the zone is assumed to have counted as many accesses, except for the first
    // one, which says nothing about the others. The second is the zone's part of the total that the owner of the
    // count last reported.
    private double accessesInZone(AccessCount count) {
        int routersInZone = context.routersInZone();
        double extrapolated = count.local + Math.max(0, count.local - 1) * (routersInZone - 1.0);
        int routers = Math.max(1, context.settings().topology().routers());
        return Math.max(extrapolated, (double) count.total * routersInZone / routers);
    }
}
