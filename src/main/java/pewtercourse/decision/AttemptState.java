package pewtercourse.decision;

/** One attempt of a request. */
final class AttemptState {
    final EndpointState endpoint;
    /** From which a miss is filled; the endpoint itself for no fill. */
    final EndpointState source;

    final boolean fromSibling;
    /** Whether it probably fills from a parent or the origin. */
    final boolean fillsFromOutside;

    final long sentAt;
    /** Microseconds that it should take when all is well. */
    final double usualTime;
    /** How likely it fills from outside, as it counts for the limit of fills. */
    final double fillProbability;

    boolean ended;
    /** Its answer is overdue: it holds no capacity any more. */
    boolean overdue;

    AttemptState(
            EndpointState endpoint,
            EndpointState source,
            boolean fromSibling,
            boolean fillsFromOutside,
            long sentAt,
            double usualTime,
            double fillProbability) {
        this.endpoint = endpoint;
        this.source = source;
        this.fromSibling = fromSibling;
        this.fillsFromOutside = fillsFromOutside;
        this.sentAt = sentAt;
        this.usualTime = usualTime;
        this.fillProbability = fillProbability;
    }

    boolean hasNoFill() {
        return source == endpoint;
    }
}
