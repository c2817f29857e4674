package pewtercourse.decision;

/** Computes how warm an endpoint is: the share of its capacity that it has, which rises linearly from its start. */
final class SlowStartRamp {
    private final RoutingContext context;

    SlowStartRamp(RoutingContext context) {
        this.context = context;
    }

    /** Returns the share of its capacity that the endpoint has at the given time, at most 1. */
    double capacityShare(EndpointState endpoint, long time) {
        long startedAt = endpoint.endpoint().startedAt();
        SlowStart slowStart =
                context.settings().slowStart().forRole(endpoint.endpoint().role());
        if (startedAt <= 0 || slowStart.window() <= 0) {
            return 1;
        }
        double elapsed = (time - startedAt) / (double) slowStart.window();
        double share = slowStart.initialShare() + (1 - slowStart.initialShare()) * elapsed;
        return Math.max(slowStart.initialShare(), Math.min(1, share));
    }

    /** Whether the endpoint has its full capacity now. */
    boolean isWarm(EndpointState endpoint) {
        return capacityShare(endpoint, context.now()) >= 1;
    }
}
