package pewtercourse.failover;

/**
 * Endpoints of one kind in a member's endpoint list.
 *
 * @param usual how many the list has had; 0 if it never had any
 * @param ready how many are ready now
 */
public record EndpointCount(int usual, int ready) {
    /** Of a kind that the list never had. */
    public static final EndpointCount NONE = new EndpointCount(0, 0);

    // Below this share of the usual count, endpoints count as missing.
    private static final double HALF = 0.5;

    /** Whether the list has ever had one, so that its emptiness means something. */
    boolean known() {
        return usual > 0;
    }

    boolean allGone() {
        return known() && ready == 0;
    }

    boolean mostGone() {
        return ready < HALF * usual;
    }
}
