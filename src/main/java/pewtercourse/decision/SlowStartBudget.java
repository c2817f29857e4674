package pewtercourse.decision;

import java.util.List;

/**
 * Limits the work sent to an endpoint that has just started. Within any overload window, the endpoint gets at
 * most its current capacity times the allowed overcommit, divided among the routers that may send to it. What
 * counts is the work that may reach the endpoint within a window, whatever holds it back on the way: see {@link
 * SlowStartLedger}. This applies to every endpoint with a recent start, whatever the cause of the start. An
 * endpoint with a wrongly reported start time gets too little work for a while.
 */
final class SlowStartBudget {
    /** Share of a published weight that is used, because weights and mean transfer times are inexact. */
    private static final double USED_WEIGHT_SHARE = 0.8;
    /**
     * Share of its transfer time after which an answer with a body cannot have ended earlier, because a client's
     * rate of transfer is limited; the rest allows for a size that is rounded.
     */
    private static final double CERTAIN_TRANSFER_SHARE = 0.9;

    private final RoutingContext context;
    private final SlowStartRamp ramp;
    private final CapacityEstimate capacity;
    private final TransferTimes transferTimes;
    private final SlowStartLedger ledger = new SlowStartLedger();
    private double quotaFactor = 1;
    private long refusals;
    private long lastExhaustedAt = Long.MIN_VALUE / 2;

    SlowStartBudget(
            RoutingContext context, SlowStartRamp ramp, CapacityEstimate capacity, TransferTimes transferTimes) {
        this.context = context;
        this.ramp = ramp;
        this.capacity = capacity;
        this.transferTimes = transferTimes;
    }

    /** Sets this router's share of the budget, as a multiple of an equal share. */
    void setQuotaFactor(double factor) {
        quotaFactor = factor;
    }

    /** Whether the budget of the endpoint allows this request. */
    boolean hasRoom(EndpointState endpoint, RequestState request) {
        if (endpoint.is(EndpointRole.ORIGIN) || ramp.isWarm(endpoint) || window() <= 0) {
            return true;
        }
        boolean allowed = ledger.work(endpoint.id(), windowStart()) + transferTimes.mean(request) <= budget(endpoint);
        if (!allowed) {
            lastExhaustedAt = context.now();
        }
        if (allowed || isOnTurn(endpoint)) {
            return true;
        }
        endpoint.slowStartRefusals++;
        refusals++;
        return false;
    }

    /** How often an endpoint had no room for a request. */
    long refusals() {
        return refusals;
    }

    /** The budgets of those of the given endpoints that are in slow start. */
    List<SlowStartStatus> status(List<EndpointState> candidates) {
        return candidates.stream()
                .filter(endpoint -> window() > 0 && !ramp.isWarm(endpoint))
                .map(this::status)
                .toList();
    }

    private SlowStartStatus status(EndpointState endpoint) {
        return new SlowStartStatus(
                endpoint.id(),
                ramp.capacityShare(endpoint, context.now()),
                context.now() - endpoint.endpoint().startedAt(),
                (long) budget(endpoint),
                (long) ledger.work(endpoint.id(), windowStart()),
                endpoint.slowStartRefusals);
    }

    /**
     * Charges an attempt to the endpoints that it may reach. Endpoints that seem to be warm are charged too: a
     * restart is announced only some time after it.
     */
    void onAttemptSent(RequestState request, AttemptState attempt) {
        attempt.endpointCharge = ledger.charge(attempt.endpoint.id(), context.now(), transferTimes.mean(request));
        if (attempt.source != attempt.endpoint && !attempt.source.is(EndpointRole.ORIGIN)) {
            attempt.sourceCharge = ledger.charge(attempt.source.id(), context.now(), transferTimes.mean(request));
        }
    }

    /** Notes until when an attempt that has ended may have reached the endpoints that it was charged to. */
    void onAttemptEnded(RequestState request, AttemptState attempt, AttemptFinished end) {
        boolean sourceUnused =
                end.outcome() == AttemptOutcome.CONNECT_FAILED || isHitWithoutRefresh(request, end.cacheStatus());
        switch (end.outcome()) {
            case CONNECT_FAILED -> ledger.cancel(attempt.endpointCharge);
            case TIMEOUT, CANCELLED -> ledger.abandon(attempt.endpointCharge, context.now());
            default -> ledger.confirm(attempt.endpointCharge, context.now(), latestArrival(request, attempt, end));
        }
        if (attempt.sourceCharge == null) {
            return;
        }
        if (sourceUnused) {
            ledger.cancel(attempt.sourceCharge);
        } else if (end.outcome() == AttemptOutcome.TIMEOUT || end.outcome() == AttemptOutcome.CANCELLED) {
            ledger.abandon(attempt.sourceCharge, context.now());
        } else {
            ledger.confirm(attempt.sourceCharge, context.now(), context.now());
        }
    }

    // A cache may renew a copy of a class with a freshness lifetime after it has answered with it.
    private static boolean isHitWithoutRefresh(RequestState request, CacheStatus status) {
        return status == CacheStatus.HIT && request.requestClass.freshnessLifetime() == 0;
    }

    private long latestArrival(RequestState request, AttemptState attempt, AttemptFinished end) {
        boolean sizeKnown =
                request.arrival.sizeKb() > 0 && context.settings().bandwidth().clientKbPerSecond() > 0;
        if (!end.bodyTransferred() || !sizeKnown) {
            return context.now();
        }
        long transfer = (long) (CERTAIN_TRANSFER_SHARE * request.transferTime);
        return Math.max(attempt.sentAt, context.now() - transfer);
    }

    /** Forgets work that no longer counts. */
    void expire() {
        ledger.expire(windowStart());
    }

    /** Whether an endpoint recently had no budget left for a request. */
    boolean wasExhausted() {
        return context.now() - lastExhaustedAt < window();
    }

    private long window() {
        return context.settings().slowStart().overloadWindow();
    }

    private long windowStart() {
        return context.now() - window();
    }

    // Work in microseconds that this router may send to the endpoint in a window.
    private double budget(EndpointState endpoint) {
        return capacityForThisRouter(endpoint) * window();
    }

    // Number of routers that may send to the endpoint.
    private int sendingRouters(EndpointState endpoint) {
        return endpoint.is(EndpointRole.PARENT)
                ? Math.max(1, context.settings().topology().routers())
                : context.routersInZone();
    }

    // Concurrent transfers that the endpoint can handle for this router. Its share of capacity rises at least
    // linearly, so the share in the middle of the window is the mean over the window.
    private double capacityForThisRouter(EndpointState endpoint) {
        double estimate = endpoint.is(EndpointRole.PARENT) ? capacity.ofWarmParent() : capacity.ofWarmCache();
        double warmCapacity = weightsAreCapacities()
                ? USED_WEIGHT_SHARE * endpoint.endpoint().weight() / sendingRouters(endpoint)
                : estimate;
        SlowStart slowStart =
                context.settings().slowStart().forRole(endpoint.endpoint().role());
        double share = ramp.capacityShare(endpoint, context.now() - window() / 2);
        return slowStart.overcommit() * share * warmCapacity * quotaFactor;
    }

    // If capacities are unknown, the routers take turns to send one request; otherwise none would learn them. Turns
    // are counted from the start of the endpoint, because the routers have no other time in common.
    private boolean isOnTurn(EndpointState endpoint) {
        if (weightsAreCapacities() || quotaFactor <= 0 || ledger.work(endpoint.id(), windowStart()) > 0) {
            return false;
        }
        long turn = (context.now() - endpoint.endpoint().startedAt()) / window() + endpoint.id();
        int router = context.settings().topology().router();
        return Math.floorMod(turn, sendingRouters(endpoint)) == router % sendingRouters(endpoint);
    }

    private boolean weightsAreCapacities() {
        return context.settings().upstream().weightsAreCapacities();
    }
}
