package pewtercourse.zone;

/**
 * The route on which the bytes of an answer came into the zone; {@code steps} is the number of steps between the hub of the
 * zone and the hub that the bytes came from.
 */
public record Route(Kind kind, int steps) {
    /** The source of the bytes of an answer. */
    public enum Kind {
        OWN,
        SIBLING,
        PARENT,
        ORIGIN
    }

    public static final Route OWN = new Route(Kind.OWN, 0);
    public static final Route SIBLING = new Route(Kind.SIBLING, 0);

    /** Returns the cost of a fill on this route; zero if the bytes stay in the zone. */
    public Cost cost(long bytes) {
        return switch (kind) {
            case OWN, SIBLING -> Cost.ZERO;
            case PARENT, ORIGIN -> Cost.ofFill(bytes, steps, kind == Kind.ORIGIN);
        };
    }

    /**
     * Returns the number of steps between two hubs on a ring, in the shorter direction.
     *
     * @param hubCount number of hubs on the ring, numbered from 0 in the order of the ring
     */
    public static int steps(int fromHub, int toHub, int hubCount) {
        if (fromHub < 0 || toHub < 0 || fromHub >= hubCount || toHub >= hubCount) {
            throw new IllegalArgumentException("hub " + fromHub + " or " + toHub + " is not below the number of hubs, " + hubCount);
        }
        int distance = Math.abs(fromHub - toHub);
        return Math.min(distance, hubCount - distance);
    }
}
