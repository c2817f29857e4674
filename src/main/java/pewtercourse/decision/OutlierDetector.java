package pewtercourse.decision;

import java.util.List;

/** Tells which endpoints do worse than their peers, and blames them. */
final class OutlierDetector {
    /** Multiple of its peers' pace from which an endpoint lags. */
    private static final double LAG = 2.5;
    /** Weight of an overdue answer in a source's pace. */
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

    // Much slower for its size than its peers that are well: it ages, stalls or is crowded by others. Only the
    // difference
    // counts, so that what slows all ejects none. Of two endpoints alone, one that has drawn the larger misses may look
    // slow
    // until its next trial.
    private static boolean lags(EndpointState endpoint, List<EndpointState> peers) {
        double sum = 0;
        int others = 0;
        for (EndpointState peer : peers) {
            if (peer != endpoint && !peer.health.isEjected()) {
                sum += peer.pace();
                others++;
            }
        }
        return others > 0 && endpoint.pace() > LAG * sum / others;
    }

    /** Whether a parent fails while others don't: what fails at all of them is the origin's fault. */
    boolean failsAlone(EndpointState parent) {
        return endpoints.parents().stream().anyMatch(p -> p != parent && p.health.isWell());
    }

    /** Whether the endpoint is usable for this request: what can't be repeated is no trial. */
    boolean isReliableFor(RequestState request, EndpointState endpoint) {
        return request.isSafe() || endpoint.health.isReliable();
    }

    void record(EndpointState endpoint, boolean failed) {
        endpoint.health.record(context.now(), failed);
    }

    /** Blames an overdue attempt on the cache if that has answered nothing since, else maybe on the source. */
    void onOverdue(AttemptState attempt) {
        if (attempt.fillsFromOutside) {
            attempt.source.recordPace(OVERDUE_GAIN, (context.now() - attempt.sentAt) / attempt.usualTime);
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
