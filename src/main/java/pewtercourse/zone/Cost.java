package pewtercourse.zone;

/** Bytes by kind of crossing, either estimated for a fill or transferred. */
public record Cost(long link, long hubStep, long origin) {
    public static final Cost ZERO = new Cost(0, 0, 0);

    public Cost {
        if (link < 0 || hubStep < 0 || origin < 0) {
            throw new IllegalArgumentException("bytes below 0");
        }
    }

    /**
     * Returns the cost of a fill from outside the zone.
     *
     * @param hubSteps steps between the hub of the zone and the hub that the bytes come from
     */
    public static Cost ofFill(long bytes, int hubSteps, boolean fromOrigin) {
        return new Cost(bytes, Math.multiplyExact(bytes, hubSteps), fromOrigin ? bytes : 0);
    }

    /** Returns the bytes of one kind of crossing. */
    public long bytesOf(Crossing crossing) {
        return switch (crossing) {
            case LINK -> link;
            case HUB_STEP -> hubStep;
            case ORIGIN -> origin;
        };
    }
}
