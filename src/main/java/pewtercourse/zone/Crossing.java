package pewtercourse.zone;

/** Kinds of crossing that have a price of their own. A fill may be of several. */
public enum Crossing {
    /** Through the canteen's one link, from whatever lies beyond it. */
    LINK,
    /** Between hubs: once for each step of the ring. */
    HUB_STEP,
    /** Out of the origin. */
    ORIGIN
}
