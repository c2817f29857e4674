package pewtercourse.decision;

/** From which other caches a cache may be filled. */
public enum SiblingFillPolicy {
    NONE,
    OWN_ZONE,
    ANY
}
