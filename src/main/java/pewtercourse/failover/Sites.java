package pewtercourse.failover;

import java.util.List;
import java.util.SortedMap;

/**
 * All sites, by name, and how losses are judged. Times in microseconds.
 *
 * @param miss share of a guest's requests that its taker has to fill
 */
public record Sites(SortedMap<String, Site> sites, double miss, Timing timing) {
    /** How many sites there may be. */
    public static final int MOST = 256;

    /**
     * @param lostAfter how long the signs of a loss must last; half as long for an impairment
     * @param backAfter how long a lost site must look well before its load comes back; doubled at each relapse
     * @param flapMost  the longest of these waits
     * @param step      the shortest time that a step of the return lasts
     * @param steps     shares of its load that come back, growing, the last one 1
     * @param fresh     how long a member's sight counts
     */
    public record Timing(long lostAfter, long backAfter, long flapMost, long step, List<Double> steps, long fresh) {}
}
