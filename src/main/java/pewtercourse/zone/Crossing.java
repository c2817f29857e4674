package pewtercourse.zone;

/** The kinds of zone crossing that are accounted for separately. A fill may use several of them. */
public enum Crossing {
    /** Over the only link of the zone, from any place outside the zone. */
    LINK,
    /** Between hubs: counted once for each step along the ring. */
    HUB_STEP,
    /** From the origin. */
    ORIGIN
}
