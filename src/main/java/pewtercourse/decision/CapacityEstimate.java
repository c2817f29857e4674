package pewtercourse.decision;

import java.util.List;

/**
 * How much work a warm endpoint bears for this router, in transfers at once: by what warm ones have served of late, and for
 * caches at least by what the zone's link for fills can carry.
 */
final class CapacityEstimate {
    /**
     * Transfers at once that a zone's caches bear, in those that its link for fills carries. A link is a little wider than
     * what the caches miss at full load, under a third; halved, as it is a guess.
     */
    private static final double TRANSFERS_PER_LINK = 1.4;
    /** A zone of fewer caches than this has a link wider by the root of their ratio. */
    private static final double NOMINAL_CACHES = 8;
    /** Caches that a zone is taken to have at least. */
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
     * Takes in what was served since. The estimates fade slowly: an outage, in which nothing is served until the list tells
     * of it, must not be taken for weakness.
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

    // A router that starts with its zone has seen nothing served yet and would reject nearly all until the caches are
    // warm.
    // Taken over the most caches listed so far: the first one back must not be given the work of all.
    private double supportedByLink() {
        double caches = Math.max(MIN_CACHES, endpoints.mostCaches());
        double wider = Math.sqrt(Math.max(1, NOMINAL_CACHES / caches));
        Bandwidth bandwidth = context.settings().bandwidth();
        double transfers =
                bandwidth.clientKbPerSecond() > 0 ? bandwidth.fillLinkKbPerSecond() / bandwidth.clientKbPerSecond() : 0;
        return TRANSFERS_PER_LINK * transfers / wider / caches / context.routersInZone();
    }

    // While none is warm the last value stands: a zone that restarts as a whole is not left without.
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
