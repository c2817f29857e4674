package pewtercourse.failover;

import java.util.SortedMap;

/**
 * The sites as their operators describe them, and the timing of their failover.
 *
 * @param byName         the sites by their names
 * @param guestMissRatio share, over 0 and up to 1, of a lost site's requests that its failover target has to fill
 * @param timing         how long signs must last before a site's status changes
 */
public record Sites(SortedMap<String, Site> byName, double guestMissRatio, FailoverTiming timing) {
    /** How many sites there may be. */
    public static final int MAX_SITES = 256;
}
