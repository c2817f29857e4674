package pewtercourse.decision;

/** Computes how warm an endpoint is: the share of its capacity that it has, which rises linearly from its start. */
final class SlowStartRamp {
    private final RoutingContext context;

    SlowStartRamp(RoutingContext context) {
        this.context = context;
    }

    /** Returns the share of its capacity that the endpoint has at the given time, at most 1. */
    double capacityShare(EndpointState endpoint, long at) {
        long startedAt = endpoint.endpoint().startedAt();
        SlowStart rule = context.settings().slowStart().of(endpoint.endpoint().role());
        if (startedAt <= 0 || rule.window() <= 0) {
            return 1;
        }
        double elapsed = (at - startedAt) / (double) rule.window();
        double share = rule.initialShare() + (1 - rule.initialShare()) * elapsed;
        return Math.max(rule.initialShare(), Math.min(1, share));
    }

    /** Whether the endpoint has its full capacity now. */
    boolean isWarm(EndpointState endpoint) {
        return capacityShare(endpoint, context.now()) >= 1;
    }
}
