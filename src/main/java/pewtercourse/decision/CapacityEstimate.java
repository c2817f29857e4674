package pewtercourse.decision;

import java.util.List;

/**
 * Estimates how much work a warm endpoint can handle for this router, in concurrent transfers. The estimate is
 * based on the work that warm endpoints served recently; for caches it is at least what the zone's link for
 * fills can support.
 */
final class CapacityEstimate {
    /**
     * Concurrent transfers that a zone's caches can handle for each transfer that the zone's link for fills can
     * carry. A link carries a little more than the misses at full load, which are less than a third of the
     * traffic. The resulting factor is halved because it is a guess.
     */
    private static final double TRANSFERS_PER_LINK = 1.4;
    /** In a zone with fewer caches than this, the link is assumed to be wider by the square root of the ratio. */
    private static final double NOMINAL_CACHES = 8;
    /** Minimum number of caches that a zone is assumed to have. */
    private static final double MIN_CACHES = 3;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final SlowStartRamp ramp;
    private double warmCache;
    private double warmParent;

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
        warmCache = Math.max(warmCache * Housekeeping.FADE, servedByWarm(endpoints.caches(), warmCache));
        warmParent = Math.max(warmParent * Housekeeping.FADE, servedByWarm(endpoints.parents(), warmParent));
    }

    double ofWarmCache() {
        return Math.max(warmCache, supportedByLink());
    }

    double ofWarmParent() {
        return warmParent;
    }

    // A router that starts together with its zone has seen no work served yet; without this bound it would
    // reject nearly all requests until the caches are warm. The bound is divided by the largest number of caches
    // listed so far: the first cache that returns must not get the work of all caches.
    private double supportedByLink() {
        double caches = Math.max(MIN_CACHES, endpoints.mostCaches());
        double wider = Math.sqrt(Math.max(1, NOMINAL_CACHES / caches));
        Bandwidth bandwidth = context.settings().bandwidth();
        double transfers =
                bandwidth.clientKbPerSecond() > 0 ? bandwidth.fillLinkKbPerSecond() / bandwidth.clientKbPerSecond() : 0;
        return TRANSFERS_PER_LINK * transfers / wider / caches / context.routersInZone();
    }

    // While no endpoint is warm, the previous value stays: a zone that restarts as a whole keeps an estimate.
    private double servedByWarm(List<EndpointState> list, double before) {
        double sum = 0;
        int warm = 0;
        for (EndpointState endpoint : list) {
            if (ramp.isWarm(endpoint)) {
                sum += endpoint.served.average(context.now());
                warm++;
            }
        }
        return warm == 0 ? before : sum / warm;
    }
}
