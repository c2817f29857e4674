package pewtercourse.decision;

/** Whether an endpoint accepts requests, according to the endpoint list. */
public enum EndpointLifecycle {
    READY,
    DRAINING,
    GONE
}
