package pewtercourse.failover;

/** What is amiss at a site. */
public enum SiteHealth {
    WELL,
    /** Its caches answer, most of them slowly. */
    SLOW,
    /** Some of its caches fail, or are reached by some directors only. */
    PARTLY,
    /** The parents of its hub are gone. */
    PARENTS,
    /** No director of it is heard; its caches answer others, or nobody knows. */
    DIRECTORS,
    /** Its caches fail; directors of it are heard. */
    CACHES,
    /** Its caches fail and no director of it is heard. */
    ALL;

    /** Whether its load has to go elsewhere. */
    public boolean lost() {
        return this == CACHES || this == ALL;
    }
}
