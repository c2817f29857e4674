package pewtercourse.decision;

import java.util.List;

/** Detects endpoints that perform worse than their peers, and records failures against them. */
final class OutlierDetector {
    /** An endpoint lags if its pace exceeds this multiple of the mean pace of its peers. */
    private static final double LAG_MULTIPLE = 2.5;
    /** Weight of an overdue answer in the pace of a source. */
    private static final double OVERDUE_GAIN = 0.1;

    private final RoutingContext context;
    private final EndpointTable endpoints;

    OutlierDetector(RoutingContext context, EndpointTable endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    boolean isLaggingCache(EndpointState endpoint) {
        return lags(endpoint, endpoints.caches());
    }

    boolean isLaggingSource(EndpointState endpoint) {
        return lags(endpoint, endpoints.parents());
    }

    // Whether the endpoint is much slower, relative to the size of its answers, than its peers that are not
    // ejected: it degrades, stalls or is crowded by others. Only the difference to the peers counts, so a fault
    // that slows down all endpoints ejects none. Of only two endpoints, one that happened to get the larger
    // misses may look slow until its next trial.
    private static boolean lags(EndpointState endpoint, List<EndpointState> peers) {
        double paceSum = 0;
        int peerCount = 0;
        for (EndpointState peer : peers) {
            if (peer != endpoint && !peer.health.isEjected()) {
                paceSum += peer.pace();
                peerCount++;
            }
        }
        return peerCount > 0 && endpoint.pace() > LAG_MULTIPLE * paceSum / peerCount;
    }

    /**
     * Whether another parent is healthy, so that a failure is this parent's fault. A failure at all parents is
     * the origin's fault.
     */
    boolean hasHealthyPeer(EndpointState parent) {
        return endpoints.parents().stream().anyMatch(peer -> peer != parent && peer.health.isHealthy());
    }

    /**
     * Whether the endpoint is reliable enough for this request. A request that can't be repeated is not sent as
     * a trial.
     */
    boolean isReliableFor(RequestState request, EndpointState endpoint) {
        return request.isSafe() || endpoint.health.isReliable();
    }

    void record(EndpointState endpoint, boolean failed) {
        endpoint.health.record(context.now(), failed);
    }

    /**
     * Records an overdue attempt as a failure of the cache if the cache has answered nothing since. Otherwise
     * records it as a failure of the source if the source has answered nothing either or lags, and if caches
     * report hits.
     */
    void onOverdue(AttemptState attempt) {
        if (attempt.fillsFromOutside) {
            attempt.source.recordPace(OVERDUE_GAIN, (context.now() - attempt.sentAt) / attempt.expectedTime);
        }
        if (!attempt.endpoint.answeredSince(attempt.sentAt)) {
            record(attempt.endpoint, true);
        } else if (attempt.fillsFromOutside
                && (!attempt.source.answeredSince(attempt.sentAt) || isLaggingSource(attempt.source))
                && context.settings().upstream().cacheStatusDetail() != CacheStatusDetail.NONE) {
            record(attempt.source, true);
        }
    }
}
