package pewtercourse.decision;

import java.util.List;

/**
 * Estimates how much work a warm endpoint can handle for this router, in concurrent transfers. The estimate is
 * based on the work that warm endpoints served recently, in bytes that they sent, which is never more than they
 * can handle; for caches it is at least what the zone's link for fills can support.
 */
final class CapacityEstimate {
    /**
     * Concurrent transfers that a zone's caches can handle for each transfer that the zone's link for fills can
     * carry. A link carries a little more than the misses at full load, which are less than a third of the
     * traffic. The resulting factor is halved because it is a guess.
     */
    private static final double TRANSFERS_PER_LINK_TRANSFER = 1.4;
    /** Share of the served work that is used, because the caches' capacities and the mean transfer times differ. */
    private static final double USED_SERVED_SHARE = 0.95;
    /** Share of the capacity derived from the link that is used, for the same reasons. */
    private static final double USED_LINK_SHARE = 0.8;
    /** In a zone with fewer caches than this, the link is assumed to be wider by the square root of the ratio. */
    private static final double NOMINAL_CACHES = 8;
    /** Minimum number of caches that a zone is assumed to have. */
    private static final double MIN_CACHES = 3;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final SlowStartRamp ramp;
    private double warmCacheCapacity;
    private double warmParentCapacity;

    CapacityEstimate(RoutingContext context, EndpointTable endpoints, SlowStartRamp ramp) {
        this.context = context;
        this.endpoints = endpoints;
        this.ramp = ramp;
    }

    /**
     * Updates the estimates from the work served recently. They decay slowly: in an outage nothing is served
     * until the endpoint list reports it, and that must not be mistaken for low capacity.
     */
    void update() {
        warmCacheCapacity = Math.max(
                warmCacheCapacity * Housekeeping.DECAY_PER_INTERVAL,
                servedByWarm(endpoints.caches(), warmCacheCapacity));
        warmParentCapacity = Math.max(
                warmParentCapacity * Housekeeping.DECAY_PER_INTERVAL,
                servedByWarm(endpoints.parents(), warmParentCapacity));
    }

    double ofWarmCache() {
        return Math.max(USED_SERVED_SHARE * warmCacheCapacity, USED_LINK_SHARE * supportedByLink());
    }

    double ofWarmParent() {
        return USED_SERVED_SHARE * warmParentCapacity;
    }

    // A router that starts together with its zone has seen no work served yet; without this bound it would
    // reject nearly all requests until the caches are warm. The bound is divided by the largest number of caches
    // listed so far: the first cache that returns must not get the work of all caches.
    private double supportedByLink() {
        double caches = Math.max(MIN_CACHES, endpoints.maxListedCaches());
        double relativeLinkWidth = Math.sqrt(Math.max(1, NOMINAL_CACHES / caches));
        Bandwidth bandwidth = context.settings().bandwidth();
        double linkTransfers =
                bandwidth.clientKbPerSecond() > 0 ? bandwidth.fillLinkKbPerSecond() / bandwidth.clientKbPerSecond() : 0;
        return TRANSFERS_PER_LINK_TRANSFER * linkTransfers / relativeLinkWidth / caches / context.routersInZone();
    }

    // While no endpoint is warm, the previous value stays: a zone that restarts as a whole keeps an estimate.
    private double servedByWarm(List<EndpointState> candidates, double previousCapacity) {
        double sum = 0;
        int warmCount = 0;
        for (EndpointState endpoint : candidates) {
            if (ramp.isWarm(endpoint)) {
                sum += endpoint.served.average(context.now());
                warmCount++;
            }
        }
        return warmCount == 0 ? previousCapacity : sum / warmCount;
    }
}
