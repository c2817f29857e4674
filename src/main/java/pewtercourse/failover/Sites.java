package pewtercourse.failover;

import java.util.SortedMap;

/**
 * The operators' description of the sites, and the timing of their failover.
 *
 * @param byName         the sites by name
 * @param guestMissRatio share, over 0 and up to 1, of a lost site's requests that miss at its failover target and have
 *                       to be filled
 * @param timing         delays of the changes of a site's status
 */
public record Sites(SortedMap<String, Site> byName, double guestMissRatio, FailoverTiming timing) {
    /** The maximum number of sites. */
    public static final int MAX_SITES = 256;
}
