package pewtercourse.failover;

/**
 * Counts the endpoints of one kind in a member's endpoint list.
 *
 * @param usual the largest recent count; 0 if the list has never had such an endpoint
 * @param ready the number of endpoints that are ready now
 */
public record EndpointCount(int usual, int ready) {
    /** The count of a kind of endpoint that the list has never had. */
    public static final EndpointCount NONE = new EndpointCount(0, 0);

    // Most endpoints count as missing while fewer than this share of the usual count are ready.
    private static final double MIN_READY_SHARE = 0.5;

    /** Whether the list has ever had such an endpoint; only then is a list without one a sign of a fault. */
    boolean everListed() {
        return usual > 0;
    }

    boolean allMissing() {
        return everListed() && ready == 0;
    }

    boolean mostMissing() {
        return ready < MIN_READY_SHARE * usual;
    }
}
