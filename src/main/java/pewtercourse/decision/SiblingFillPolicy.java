package pewtercourse.decision;

/** Which other caches a cache may fill from. */
public enum SiblingFillPolicy {
    NONE,
    OWN_ZONE,
    ANY
}
