package pewtercourse.decision;

/** One attempt of a request. */
final class AttemptState {
    final EndpointState endpoint;
    /** Endpoint from which a miss is filled; the attempt's own endpoint if there is no fill. */
    final EndpointState source;

    final boolean fromSibling;
    /** Whether the attempt probably needs a fill from a parent or the origin. */
    final boolean fillsFromOutside;

    final long sentAt;
    /** Microseconds that the attempt takes under normal conditions. */
    final double expectedTime;
    /** Probability of a fill from a parent or the origin; the attempt takes this much of the limit on fills. */
    final double fillProbability;

    /** Work charged to the endpoint; null before the attempt is sent. */
    SlowStartLedger.Charge endpointCharge;
    /** Work charged to the source of a fill; null if there is none. */
    SlowStartLedger.Charge sourceCharge;

    /** What is remembered of the attempt as long as it may have run; null before it is sent. */
    PossibleRun possibleRun;

    boolean ended;
    /** Whether the answer is overdue. An overdue attempt takes no capacity any more. */
    boolean overdue;

    AttemptState(
            EndpointState endpoint,
            EndpointState source,
            boolean fromSibling,
            boolean fillsFromOutside,
            long sentAt,
            double expectedTime,
            double fillProbability) {
        this.endpoint = endpoint;
        this.source = source;
        this.fromSibling = fromSibling;
        this.fillsFromOutside = fillsFromOutside;
        this.sentAt = sentAt;
        this.expectedTime = expectedTime;
        this.fillProbability = fillProbability;
    }

    boolean hasNoFill() {
        return source == endpoint;
    }
}
