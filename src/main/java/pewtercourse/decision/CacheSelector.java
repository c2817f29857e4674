package pewtercourse.decision;

import java.util.Collections;
import java.util.List;

/**
 * Chooses the cache for an attempt: along the object's placement order, first among as many caches as its popularity is
 * worth, then among the others.
 */
final class CacheSelector {
    /** A cache with more attempts in flight than this multiple of the mean for its capacity ... */
    private static final double CROWDED_MULTIPLE = 1.5;
    /** ... and more than this many is skipped at first. */
    private static final double CROWDED_FLOOR = 3;
    /** Attempts of one request at one cache, at most. */
    private static final int MAX_FAILURES_AT_ONE = 2;

    /** How choosy a look through the caches is. */
    private enum Pass {
        /** Neither crowded nor unreliable. */
        PREFERRED,
        /** Not ejected, and not tried before. */
        USABLE,
        /** Any that may answer. */
        LAST_RESORT
    }

    /** Attempts in flight at all caches, and the sum of their capacities. */
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

    /** Null if no cache may be used now. */
    EndpointState select(RequestState request) {
        List<EndpointState> caches = endpoints.caches();
        order.sort(caches, request.objectHash);
        int replicas = counts.replicas(request.objectHash, caches.size());
        int turn = request.turn % replicas;
        Load load = load(caches);
        for (Pass pass : Pass.values()) {
            for (int i = 0; i < caches.size(); i++) {
                EndpointState cache = caches.get(i < replicas ? (turn + i) % replicas : i);
                if (mayBeUsed(request, cache) && suits(request, cache, pass, load)) {
                    return cache;
                }
            }
        }
        return null;
    }

    private boolean mayBeUsed(RequestState request, EndpointState cache) {
        // What runs at the origin is rare and small: it passes the limits, which guard against the many.
        return idempotency.allow(request, cache)
                && (!request.isCacheable() || cache.limiter.admits(transferTimes.relativeSize(request)))
                && slowStart.hasRoom(cache, request);
    }

    private boolean suits(RequestState request, EndpointState cache, Pass pass, Load load) {
        if (pass == Pass.LAST_RESORT) {
            return isLastResort(request, cache);
        }
        boolean usable = !request.failedEndpoints.contains(cache) && cache.health.isUsable(context.now());
        return usable && (pass == Pass.USABLE || !isCrowded(cache, load) && outliers.isReliableFor(request, cache));
    }

    // Where all look ill, each gets as many at once as its share of answers lets hope for, at least one: the waiting
    // attempts of all routers must not topple a dead cache as it returns. And no request goes to one a third time: one
    // that
    // rejects all would be asked on and on while the others have no room.
    private static boolean isLastResort(RequestState request, EndpointState cache) {
        double hopeful = Math.max(1, cache.limiter.limit() * (1 - cache.health.failureRate()));
        return Collections.frequency(request.failedEndpoints, cache) < MAX_FAILURES_AT_ONE
                && (!cache.health.isEjected() || cache.limiter.inFlight() < hopeful);
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
