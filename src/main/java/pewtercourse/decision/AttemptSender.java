package pewtercourse.decision;

/** Sends attempts. Reserves and releases the capacity that they take from limits and budgets. */
final class AttemptSender {
    private final RoutingContext context;
    private final ActionBuffer actions;
    private final FillTracker fills;
    private final AttemptTimeouts timeouts;
    private final SlowStartBudget slowStart;
    private final AccessCounts counts;
    private final ContentHints hints;
    private final PurgeLog purges;
    private final IdempotencyRules idempotency;

    AttemptSender(
            RoutingContext context,
            ActionBuffer actions,
            FillTracker fills,
            AttemptTimeouts timeouts,
            SlowStartBudget slowStart,
            AccessCounts counts,
            ContentHints hints,
            PurgeLog purges,
            IdempotencyRules idempotency) {
        this.context = context;
        this.actions = actions;
        this.fills = fills;
        this.timeouts = timeouts;
        this.slowStart = slowStart;
        this.counts = counts;
        this.hints = hints;
        this.purges = purges;
        this.idempotency = idempotency;
    }

    /**
     * Sends the request to the target. On a miss the target fills from the source; it does not fill if the
     * source is the target itself.
     */
    void send(RequestState request, EndpointState target, EndpointState source, boolean fromSibling) {
        long endsBy = idempotency.nextAttemptEnd(request);
        AttemptState attempt = reserve(request, target, source, fromSibling);
        boolean safe = request.isSafe();
        RouterFeatures features = context.settings().features();
        actions.add(new SendAttempt(
                request.id(),
                target.id(),
                timeout(request, attempt, endsBy),
                source.id(),
                counts.retentionRank(request),
                purges.maxCopyAge(request),
                features.requestCoalescing() && safe,
                fromSibling,
                request.requestClass.freshnessLifetime() > 0));
    }

    // 0 if the attempt may last until the client stops waiting. If attempts can't be cancelled, one of a safe request
    // gets a timeout when it is sent, provided that time remains for another.
    private long timeout(RequestState request, AttemptState attempt, long endsBy) {
        if (endsBy < request.arrival.expiresAt()) {
            return endsBy - context.now();
        }
        long dueAt = timeouts.dueAt(attempt);
        boolean hasTimeout = request.isSafe()
                && !context.settings().features().attemptCancellation()
                && dueAt + request.transferTime < request.arrival.expiresAt();
        return hasTimeout ? dueAt - context.now() : 0;
    }

    private AttemptState reserve(
            RequestState request, EndpointState target, EndpointState source, boolean fromSibling) {
        boolean fillsFromOutside = source != target && !fromSibling && !hints.isLikelyHeld(request, target);
        AttemptState attempt = new AttemptState(
                target,
                source,
                fromSibling,
                fillsFromOutside,
                context.now(),
                timeouts.expectedTime(request, fillsFromOutside),
                fillsFromOutside ? fills.probability() : 0);
        request.onAttemptSent(attempt);
        idempotency.onAttemptSent(request, attempt.possibleRun);
        slowStart.onAttemptSent(request, attempt);
        target.limiter.acquire(1);
        fills.limiter.acquire(attempt.fillProbability);
        target.health.onAttemptSent();
        if (fillsFromOutside) {
            source.health.onAttemptSent();
        }
        return attempt;
    }

    /** Releases the capacity that the attempt takes from the limits. */
    void release(AttemptState attempt) {
        attempt.endpoint.limiter.release(1);
        fills.limiter.release(attempt.fillProbability);
    }
}
