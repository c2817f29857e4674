package pewtercourse.failover;

/**
 * What is wrong with a site. The constants' names are stored in the replicated log and shown to operators: they can't
 * be renamed.
 */
public enum SiteHealth {
    /** Nothing is known to be wrong. */
    WELL,
    /** Its caches answer, most of them slowly. */
    SLOW,
    /** Some of its caches fail, or are reachable from some directors only. */
    PARTLY,
    /** The parents of its hub are gone. */
    PARENTS,
    /** None of its directors is heard from; its caches answer other directors, or nobody knows. */
    DIRECTORS,
    /** Its caches fail; directors of it are heard from. */
    CACHES,
    /** Its caches fail and none of its directors is heard from. */
    ALL;

    /** Whether its load has to go elsewhere. */
    public boolean lost() {
        return this == CACHES || this == ALL;
    }

    /** Whether a lost site in this health can serve its clients again. */
    boolean recoverable() {
        return !lost() && this != SLOW && this != PARENTS;
    }
}
