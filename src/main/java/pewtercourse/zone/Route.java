package pewtercourse.zone;

/** The way on which the bytes of an answer came into the canteen. {@code steps}: hubs beyond the canteen's own. */
public record Route(Kind kind, int steps) {
    /** Where the bytes of an answer came from. */
    public enum Kind {
        OWN,
        SIBLING,
        PARENT,
        ORIGIN
    }

    public static final Route OWN = new Route(Kind.OWN, 0), SIBLING = new Route(Kind.SIBLING, 0);

    /** What a fill of so many bytes costs on this way; nothing where it stays in the canteen. */
    public Cost cost(long bytes) {
        return switch (kind) {
            case OWN, SIBLING -> Cost.NOTHING;
            case PARENT, ORIGIN -> Cost.ofFill(bytes, steps, kind == Kind.ORIGIN);
        };
    }

    /**
     * Steps between two hubs that stand in a ring with {@code hubs} others in the order of their places: the shorter way
     * round.
     */
    public static int steps(int from, int to, int hubs) {
        if (from < 0 || to < 0 || from >= hubs || to >= hubs) {
            throw new IllegalArgumentException("hub " + from + " or " + to + " is none of " + hubs);
        }
        int way = Math.abs(from - to);
        return Math.min(way, hubs - way);
    }
}
