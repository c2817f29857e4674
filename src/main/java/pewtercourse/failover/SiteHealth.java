package pewtercourse.failover;

/**
 * The health of a site, or its kind of fault. The constants' names are stored in the replicated log and shown to
 * operators, so they can't be renamed.
 */
public enum SiteHealth {
    /** No fault is known. */
    WELL,
    /** The caches of the site answer, but most answers are late. */
    SLOW,
    /** Some caches of the site fail, or only some directors reach them. */
    PARTLY,
    /** All parents of the site's hub are missing. */
    PARENTS,
    /** No director of the site reports; its caches answer other directors, or their health is unknown. */
    DIRECTORS,
    /** The caches of the site fail; at least one of its directors reports. */
    CACHES,
    /** The caches of the site fail and none of its directors reports. */
    ALL;

    /** Whether other sites have to serve the load of a site in this health. */
    public boolean lost() {
        return this == CACHES || this == ALL;
    }

    /** Whether a lost site in this health can serve its clients again. */
    boolean recoverable() {
        return !lost() && this != SLOW && this != PARENTS;
    }
}
