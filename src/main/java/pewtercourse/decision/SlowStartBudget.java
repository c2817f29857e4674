package pewtercourse.decision;

import java.util.List;

/**
 * Limits the work sent to an endpoint that has just started. Within any overload window, the endpoint gets at
 * most its current capacity times the allowed overcommit, divided among the routers that may send to it. This
 * applies to every endpoint with a recent start, whatever the cause of the start. An endpoint with a wrongly
 * reported start time gets too little work for a while.
 */
final class SlowStartBudget {
    /** Share of the budget that is used, because weights and mean transfer times are inexact. */
    private static final double USED_SHARE = 0.8;

    private final RoutingContext context;
    private final SlowStartRamp ramp;
    private final CapacityEstimate capacity;
    private final TransferTimes transferTimes;
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
        long window = context.settings().slowStart().overloadWindow();
        if (endpoint.is(EndpointRole.ORIGIN) || ramp.isWarm(endpoint) || window <= 0) {
            return true;
        }
        endpoint.slowStartWork.dropUntil(context.now() - window);
        boolean allowed = endpoint.slowStartWork.sum() + transferTimes.mean(request) <= budget(endpoint, window);
        if (!allowed) {
            lastExhaustedAt = context.now();
        }
        if (allowed || isOnTurn(endpoint, sendingRouters(endpoint), window)) {
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
        long window = context.settings().slowStart().overloadWindow();
        return candidates.stream()
                .filter(endpoint -> window > 0 && !ramp.isWarm(endpoint))
                .map(endpoint -> status(endpoint, window))
                .toList();
    }

    private SlowStartStatus status(EndpointState endpoint, long window) {
        return new SlowStartStatus(
                endpoint.id(),
                ramp.capacityShare(endpoint, context.now()),
                context.now() - endpoint.endpoint().startedAt(),
                (long) budget(endpoint, window),
                (long) endpoint.slowStartWork.sumAfter(context.now() - window),
                endpoint.slowStartRefusals);
    }

    void onAttemptSent(EndpointState endpoint, RequestState request) {
        if (!ramp.isWarm(endpoint)) {
            endpoint.slowStartWork.add(context.now(), transferTimes.mean(request));
        }
    }

    /** Whether an endpoint recently had no budget left for a request. */
    boolean wasExhausted() {
        return context.now() - lastExhaustedAt < context.settings().slowStart().overloadWindow();
    }

    // Work in microseconds that this router may send to the endpoint in a window.
    private double budget(EndpointState endpoint, long window) {
        return USED_SHARE * capacityForThisRouter(endpoint, sendingRouters(endpoint), window) * window;
    }

    // Number of routers that may send to the endpoint.
    private int sendingRouters(EndpointState endpoint) {
        return endpoint.is(EndpointRole.PARENT)
                ? Math.max(1, context.settings().topology().routers())
                : context.routersInZone();
    }

    // Concurrent transfers that the endpoint can handle for this router. Its share of capacity rises at least
    // linearly, so the share in the middle of the window is the mean over the window.
    private double capacityForThisRouter(EndpointState endpoint, int sendingRouters, long window) {
        double estimate = endpoint.is(EndpointRole.PARENT) ? capacity.ofWarmParent() : capacity.ofWarmCache();
        double warmCapacity = weightsAreCapacities() ? endpoint.endpoint().weight() / sendingRouters : estimate;
        SlowStart slowStart =
                context.settings().slowStart().forRole(endpoint.endpoint().role());
        double share = ramp.capacityShare(endpoint, context.now() - window / 2);
        return slowStart.overcommit() * share * warmCapacity * quotaFactor;
    }

    // If capacities are unknown, the routers take turns to send one request; otherwise none would learn them. Turns
    // are counted from the start of the endpoint, because the routers have no other time in common.
    private boolean isOnTurn(EndpointState endpoint, int sendingRouters, long window) {
        if (weightsAreCapacities() || !endpoint.slowStartWork.isEmpty()) {
            return false;
        }
        long turn = (context.now() - endpoint.endpoint().startedAt()) / window + endpoint.id();
        int router = context.settings().topology().router();
        return Math.floorMod(turn, sendingRouters) == router % sendingRouters;
    }

    private boolean weightsAreCapacities() {
        return context.settings().upstream().weightsAreCapacities();
    }
}
