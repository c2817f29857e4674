package pewtercourse.decision;

/**
 * Learns from the end of each attempt: which cache holds the object, and how well the cache and the source of
 * the fill perform. Each failure is attributed to the party that caused it. An error that the cache attributes
 * to its source does not count against the cache. An error that another cache returns too may be caused by the
 * request itself, so unusable requests get no healthy cache ejected.
 */
final class AttemptFeedback {
    /** An answer is slow if its latency without the transfer exceeds this share of its objective. */
    private static final double SLOW_SHARE = 0.1;
    /** An answer is well within its objective if its latency is below this share of the objective. */
    private static final double WELL_WITHIN_SHARE = 0.7;

    private final RoutingContext context;
    private final OutlierDetector outliers;
    private final FillTracker fills;
    private final ContentHints hints;

    AttemptFeedback(RoutingContext context, OutlierDetector outliers, FillTracker fills, ContentHints hints) {
        this.context = context;
        this.outliers = outliers;
        this.fills = fills;
        this.hints = hints;
    }

    void onAttemptEnded(RequestState request, AttemptState attempt, AttemptFinished end) {
        attempt.endpoint.health.onAttemptEnded();
        attempt.source.health.onAttemptEnded();
        if (!end.outcome().isInconclusive() && end.outcome() != AttemptOutcome.CONNECT_FAILED) {
            attempt.endpoint.onAnswer(context.now());
        }
        boolean hit = isHit(attempt, end.cacheStatus());
        ConcurrencyLimiter limiter = responsibleLimiter(attempt, hit);
        if (end.outcome() == AttemptOutcome.OK) {
            onAnswer(request, attempt, end, hit, limiter);
        } else {
            onFailure(request, attempt, end, limiter);
        }
    }

    private static boolean isHit(AttemptState attempt, CacheStatus status) {
        return switch (status) {
            case HIT, STALE -> true;
            case UNKNOWN -> !attempt.fillsFromOutside;
            default -> false;
        };
    }

    // Returns the limiter that a late answer shrinks. A failing or lagging source is no reason to fill less from
    // the other sources: in that case a new limiter that nothing else uses takes the sample.
    private ConcurrencyLimiter responsibleLimiter(AttemptState attempt, boolean hit) {
        if (hit || !attempt.fillsFromOutside || outliers.isLaggingCache(attempt.endpoint)) {
            return attempt.endpoint.limiter;
        }
        boolean sourceFailing = attempt.source.health.isEjected() || outliers.isLaggingSource(attempt.source);
        return sourceFailing ? new ConcurrencyLimiter(context.routersInZone()) : fills.limiter;
    }

    private void onAnswer(
            RequestState request, AttemptState attempt, AttemptFinished end, boolean hit, ConcurrencyLimiter limiter) {
        long latency = end.latency();
        double objective = request.latencyObjective();
        boolean late = latency > objective;
        EndpointState cache = attempt.endpoint;
        cache.recordPace(EndpointHealth.GAIN, latency / attempt.expectedTime);
        outliers.record(cache, late && outliers.isLaggingCache(cache));
        request.suspectedCaches.forEach(suspect -> outliers.record(suspect, suspect != cache));
        request.suspectedSources.forEach(
                suspect -> outliers.record(suspect, suspect != attempt.source && outliers.hasHealthyPeer(suspect)));
        limiter.recordSpeed(latency - request.transferTime > SLOW_SHARE * objective);
        limiter.adapt(context.now(), context.routersInZone(), latency < WELL_WITHIN_SHARE * objective, late);
        if (end.bodyTransferred()) {
            cache.served.add(context.now(), request.transferTime);
        }
        if (attempt.fillsFromOutside) {
            fills.recordNeed(!hit);
            if (!hit) {
                onFill(request, attempt, latency, late);
            }
        }
        if (request.isCacheable() && cache.is(EndpointRole.CACHE)) {
            hints.recordHeld(request, cache, hit);
        }
    }

    private void onFill(RequestState request, AttemptState attempt, long latency, boolean late) {
        EndpointState source = attempt.source;
        source.recordPace(EndpointHealth.GAIN, latency / attempt.expectedTime);
        outliers.record(source, late && outliers.isLaggingSource(source));
        source.served.add(context.now(), request.transferTime);
        source.onAnswer(context.now());
        if (!outliers.isLaggingSource(source)) {
            fills.recordWait(latency - request.transferTime);
        }
    }

    private void onFailure(
            RequestState request, AttemptState attempt, AttemptFinished end, ConcurrencyLimiter limiter) {
        suspectParentOfFailedFill(request, attempt, end.outcome());
        blameCache(request, attempt, end, limiter);
        if (end.outcome() == AttemptOutcome.TIMEOUT) {
            outliers.onOverdue(attempt);
        } else if (!end.outcome().isInconclusive()) {
            hints.forget(request, attempt.endpoint);
        }
        if (attempt.fromSibling) {
            hints.forget(request, attempt.source);
            request.parentOnly = true;
        } else if (end.cacheStatus().isSourceFault()) {
            blameSource(request, attempt, end.cacheStatus());
        } else if (!attempt.overdue && (end.outcome() != AttemptOutcome.MISS || !attempt.hasNoFill())) {
            request.failedEndpoints.add(attempt.endpoint);
        }
    }

    // Suspects the parent of a failed fill. Unless caches report all details, a cache that cannot fill reports
    // only that it is overloaded or that it failed. A parent that is gone but still listed must not shrink all
    // limits: if one fill after the other from the same parent is rejected, the parent is at fault. Overloaded
    // caches may thus get a parent ejected for a second. An error may be caused by the parent as well as by the
    // cache. It counts against the parent once the request was served another way, or at once if the request
    // can't be repeated. This detects a parent that has lost its connection to the origin: it fails the objects
    // that it lacks and serves the rest.
    private void suspectParentOfFailedFill(RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        boolean fillFailed = context.settings().upstream().cacheStatusDetail() != CacheStatusDetail.ALL
                && attempt.fillsFromOutside
                && attempt.source.is(EndpointRole.PARENT)
                && (outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.ERROR);
        if (!fillFailed) {
            return;
        }
        request.failedSources.add(attempt.source);
        boolean safeError = isSafeError(request, outcome);
        if (outcome == AttemptOutcome.OVERLOADED || !safeError && outliers.hasHealthyPeer(attempt.source)) {
            outliers.record(attempt.source, true);
        } else if (safeError) {
            request.suspectedSources.add(attempt.source);
        }
    }

    private void blameCache(
            RequestState request, AttemptState attempt, AttemptFinished end, ConcurrencyLimiter limiter) {
        AttemptOutcome outcome = end.outcome();
        boolean sourceFault = end.cacheStatus().isSourceFault();
        boolean safeError = isSafeError(request, outcome);
        if (safeError && !sourceFault && !request.suspectedCaches.contains(attempt.endpoint)) {
            request.suspectedCaches.add(attempt.endpoint);
        } else if (isFailure(outcome) && !safeError && !sourceFault) {
            outliers.record(attempt.endpoint, true);
        } else if (outcome == AttemptOutcome.TIMEOUT && !attempt.overdue || outcome == AttemptOutcome.OVERLOADED) {
            limiter.adapt(context.now(), context.routersInZone(), false, true);
        }
    }

    private void blameSource(RequestState request, AttemptState attempt, CacheStatus status) {
        request.failedSources.add(attempt.source);
        if (status == CacheStatus.SOURCE_FAILED || status == CacheStatus.SOURCE_REJECTED) {
            outliers.record(attempt.source, true);
        }
    }

    private static boolean isFailure(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED;
    }

    private static boolean isSafeError(RequestState request, AttemptOutcome outcome) {
        return outcome == AttemptOutcome.ERROR && request.isSafe();
    }
}
