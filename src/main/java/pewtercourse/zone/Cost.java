package pewtercourse.zone;

/** Bytes by kind of crossing, as estimated for a fill or as they came. */
public record Cost(long link, long hubStep, long origin) {
    public static final Cost NOTHING = new Cost(0, 0, 0);

    public Cost {
        if (link < 0 || hubStep < 0 || origin < 0) {
            throw new IllegalArgumentException("bytes below 0");
        }
    }

    /** A fill of so many bytes from beyond the canteen, {@code steps} hubs further than its own. */
    public static Cost ofFill(long bytes, int steps, boolean origin) {
        return new Cost(bytes, Math.multiplyExact(bytes, steps), origin ? bytes : 0);
    }

    public long of(Crossing c) {
        return switch (c) {
            case LINK -> link;
            case HUB_STEP -> hubStep;
            case ORIGIN -> origin;
        };
    }
}
