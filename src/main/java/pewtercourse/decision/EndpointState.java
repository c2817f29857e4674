package pewtercourse.decision;

/** What this router has learned about one endpoint since the last start of the endpoint. */
final class EndpointState {
    final ConcurrencyLimiter limiter;
    final EndpointHealth health = new EndpointHealth();
    final ServedWork served = new ServedWork();
    /** How often the budget of slow start had no room for a request. */
    long slowStartRefusals;
    /** Score for the object for which the endpoints were last sorted; see {@link PlacementOrder}. */
    double placementScore;

    private Endpoint endpoint;
    private long lastAnswerAt;
    private double pace = 1;

    EndpointState(Endpoint endpoint, int routersInZone) {
        this.endpoint = endpoint;
        this.limiter = new ConcurrencyLimiter(routersInZone);
    }

    /** The endpoint's entry in the endpoint list. */
    Endpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(Endpoint newEntry) {
        endpoint = newEntry;
    }

    long id() {
        return endpoint.id();
    }

    boolean is(EndpointRole role) {
        return endpoint.role() == role;
    }

    /** Capacity in the unit of the endpoint list if weights are capacities; otherwise 1. */
    double capacity(boolean weightsAreCapacities) {
        return weightsAreCapacities && endpoint.weight() > 0 ? endpoint.weight() : 1;
    }

    void onAnswer(long now) {
        lastAnswerAt = now;
    }

    boolean answeredSince(long time) {
        return lastAnswerAt >= time;
    }

    /** Moving average of answer times, as multiples of the expected time. */
    double pace() {
        return pace;
    }

    /** Adds the pace of one more answer with the weight {@code gain}. */
    void recordPace(double gain, double sample) {
        pace += gain * (sample - pace);
    }
}
