package pewtercourse.decision;

import java.util.Collections;
import java.util.List;

/**
 * Chooses the cache for an attempt. Caches are considered in the object's placement order: first as many as the
 * object has replicas, then the others.
 */
final class CacheSelector {
    /**
     * A cache is crowded if it has more attempts in flight than {@link #CROWDED_FLOOR} and more than this
     * multiple of the mean for its capacity.
     */
    private static final double CROWDED_MULTIPLE = 1.5;
    /** A cache with no more attempts in flight than this is not crowded. */
    private static final double CROWDED_FLOOR = 3;
    /** Maximum failures of one request at one cache. */
    private static final int MAX_FAILURES_PER_CACHE = 2;

    /** How selective a pass over the caches is. */
    private enum Pass {
        /** Only usable caches that are neither crowded nor unreliable. */
        PREFERRED,
        /** Only caches that are not ejected and at which the request has not failed. */
        USABLE,
        /** Any cache that may answer. */
        LAST_RESORT
    }

    /** Attempts in flight at all caches, and the sum of the capacities of the caches. */
    private record Load(double inFlight, double capacity) {}

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final PlacementOrder order;
    private final AccessCounts counts;
    private final SlowStartBudget slowStart;
    private final OutlierDetector outliers;
    private final IdempotencyRules idempotency;
    private final TransferTimes transferTimes;

    CacheSelector(
            RoutingContext context,
            EndpointTable endpoints,
            AccessCounts counts,
            SlowStartBudget slowStart,
            OutlierDetector outliers,
            IdempotencyRules idempotency,
            TransferTimes transferTimes) {
        this.context = context;
        this.endpoints = endpoints;
        this.order = new PlacementOrder(context);
        this.counts = counts;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.idempotency = idempotency;
        this.transferTimes = transferTimes;
    }

    /** Returns the cache for the next attempt; null if no cache may be used now. */
    EndpointState select(RequestState request) {
        List<EndpointState> caches = endpoints.caches();
        order.sort(caches, request.objectHash);
        int replicas = counts.replicas(request.objectHash, caches.size());
        int turn = request.replicaTurn % replicas;
        Load load = load(caches);
        for (Pass pass : Pass.values()) {
            for (int i = 0; i < caches.size(); i++) {
                EndpointState cache = caches.get(i < replicas ? (turn + i) % replicas : i);
                if (mayBeUsed(request, cache) && isEligible(request, cache, pass, load)) {
                    return cache;
                }
            }
        }
        return null;
    }

    private boolean mayBeUsed(RequestState request, EndpointState cache) {
        // Requests that only the origin can answer are rare and small. They bypass the concurrency limit, which
        // protects against large numbers of requests.
        return idempotency.allowsAttempt(request, cache)
                && (!request.isCacheable() || cache.limiter.admits(transferTimes.relativeSize(request)))
                && slowStart.hasRoom(cache, request);
    }

    private boolean isEligible(RequestState request, EndpointState cache, Pass pass, Load load) {
        if (pass == Pass.LAST_RESORT) {
            return isLastResort(request, cache);
        }
        boolean usable = !request.failedEndpoints.contains(cache) && cache.health.isUsable(context.now());
        return usable && (pass == Pass.USABLE || !isCrowded(cache, load) && outliers.isReliableFor(request, cache));
    }

    // If all caches appear to be failing, each may have as many attempts in flight as its success rate suggests,
    // but at least one: the waiting attempts of all routers must not overload a dead cache as it recovers. No
    // request goes to the same cache a third time: a cache that rejects everything would be tried over and over
    // while the others have no room.
    private static boolean isLastResort(RequestState request, EndpointState cache) {
        double allowedInFlight = Math.max(1, cache.limiter.limit() * (1 - cache.health.failureRate()));
        return Collections.frequency(request.failedEndpoints, cache) < MAX_FAILURES_PER_CACHE
                && (!cache.health.isEjected() || cache.limiter.inFlight() < allowedInFlight);
    }

    private Load load(List<EndpointState> caches) {
        boolean weighted = context.settings().upstream().weightsAreCapacities();
        double inFlight = 0;
        double capacity = 0;
        for (EndpointState cache : caches) {
            inFlight += cache.limiter.inFlight();
            capacity += cache.capacity(weighted);
        }
        return new Load(inFlight, capacity);
    }

    private boolean isCrowded(EndpointState cache, Load load) {
        double capacity = cache.capacity(context.settings().upstream().weightsAreCapacities());
        return cache.limiter.inFlight() > CROWDED_FLOOR
                && cache.limiter.inFlight() > CROWDED_MULTIPLE * load.inFlight() * capacity / load.capacity();
    }
}
