package pewtercourse.decision;

/**
 * Limits what an endpoint that has just started is sent: within any overload window its present capacity times the allowed
 * overcommit, split over the routers that may send. Holds for any fresh endpoint, whatever made it start. An endpoint whose
 * start is told wrongly gets too little for a while.
 */
final class SlowStartBudget {
    /** Share of the budget that is used: weights and means are rough. */
    private static final double USED_SHARE = 0.8;

    private final RoutingContext context;
    private final SlowStartRamp ramp;
    private final CapacityEstimate capacity;
    private final TransferTimes transferTimes;
    private double quotaFactor = 1;
    private long lastExhaustedAt = Long.MIN_VALUE / 2;

    SlowStartBudget(
            RoutingContext context, SlowStartRamp ramp, CapacityEstimate capacity, TransferTimes transferTimes) {
        this.context = context;
        this.ramp = ramp;
        this.capacity = capacity;
        this.transferTimes = transferTimes;
    }

    /** Sets this router's share of the budget, as a factor on an equal share. */
    void setQuotaFactor(double factor) {
        quotaFactor = factor;
    }

    /** Whether the endpoint may get this request. */
    boolean hasRoom(EndpointState endpoint, RequestState request) {
        long window = context.settings().slowStart().overloadWindow();
        if (endpoint.is(EndpointRole.ORIGIN) || ramp.isWarm(endpoint) || window <= 0) {
            return true;
        }
        endpoint.slowStartWork.dropUntil(context.now() - window);
        int sharers = sharers(endpoint);
        double budget = USED_SHARE * bearable(endpoint, sharers, window) * window;
        boolean room = endpoint.slowStartWork.sum() + transferTimes.mean(request) <= budget;
        if (!room) {
            lastExhaustedAt = context.now();
        }
        return room || isOnTurn(endpoint, sharers, window);
    }

    void onAttemptSent(EndpointState endpoint, RequestState request) {
        if (!ramp.isWarm(endpoint)) {
            endpoint.slowStartWork.add(context.now(), transferTimes.mean(request));
        }
    }

    /** Whether of late some endpoint had no room. */
    boolean wasExhausted() {
        return context.now() - lastExhaustedAt < context.settings().slowStart().overloadWindow();
    }

    // Routers that may send to the endpoint.
    private int sharers(EndpointState endpoint) {
        return endpoint.is(EndpointRole.PARENT)
                ? Math.max(1, context.settings().topology().routers())
                : context.routersInZone();
    }

    // Transfers at once that the endpoint bears for this router. Its warmth rises at least linearly: in the middle of
    // the
    // window it is the window's mean.
    private double bearable(EndpointState endpoint, int sharers, long window) {
        double learned = endpoint.is(EndpointRole.PARENT) ? capacity.ofWarmParent() : capacity.ofWarmCache();
        double warm = weightsAreCapacities() ? endpoint.endpoint().weight() / sharers : learned;
        SlowStart rule = context.settings().slowStart().of(endpoint.endpoint().role());
        double share = ramp.capacityShare(endpoint, context.now() - window / 2);
        return rule.overcommit() * share * warm * quotaFactor;
    }

    // Where capacities are not told, the routers take turns to send one request: else none would learn.
    private boolean isOnTurn(EndpointState endpoint, int sharers, long window) {
        int router = context.settings().topology().router();
        boolean turn = endpoint.slowStartWork.isEmpty() && context.now() / window % sharers == router % sharers;
        return turn && !weightsAreCapacities();
    }

    private boolean weightsAreCapacities() {
        return context.settings().upstream().weightsAreCapacities();
    }
}
