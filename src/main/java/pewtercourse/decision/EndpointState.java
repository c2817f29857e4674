package pewtercourse.decision;

/** What this router has learned of one endpoint since the endpoint was last started. */
final class EndpointState {
    final ConcurrencyLimiter limiter;
    final EndpointHealth health = new EndpointHealth();
    final ServedWork served = new ServedWork();
    final WorkWindow slowStartWork = new WorkWindow();

    /** Its score for the object that the endpoints were last ordered for; see {@link PlacementOrder}. */
    double placementScore;

    private Endpoint endpoint;
    private long lastAnswerAt;
    private double pace = 1;

    EndpointState(Endpoint endpoint, int routersInZone) {
        this.endpoint = endpoint;
        this.limiter = new ConcurrencyLimiter(routersInZone);
    }

    /** Its entry in the list. */
    Endpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(Endpoint next) {
        endpoint = next;
    }

    long id() {
        return endpoint.id();
    }

    boolean is(EndpointRole role) {
        return endpoint.role() == role;
    }

    /** Its capacity, in the unit of the list if weights are capacities; else 1. */
    double capacity(boolean weightsAreCapacities) {
        return weightsAreCapacities && endpoint.weight() > 0 ? endpoint.weight() : 1;
    }

    void onAnswer(long now) {
        lastAnswerAt = now;
    }

    boolean answeredSince(long time) {
        return lastAnswerAt >= time;
    }

    /** Time of its answers as a multiple of what is usual. */
    double pace() {
        return pace;
    }

    /** Takes in the pace of one more answer with a weight of {@code gain}. */
    void recordPace(double gain, double sample) {
        pace += gain * (sample - pace);
    }
}
