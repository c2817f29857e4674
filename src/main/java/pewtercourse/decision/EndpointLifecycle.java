package pewtercourse.decision;

/** Whether an endpoint takes requests, as the endpoint list tells. */
public enum EndpointLifecycle {
    READY,
    DRAINING,
    GONE
}
