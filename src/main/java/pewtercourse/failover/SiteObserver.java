package pewtercourse.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pewtercourse.cache.AttemptResult;

/**
 * Collects this director's observations of the sites: the results of its attempts at their caches, and the endpoints in
 * its list. Times are in microseconds of a monotonic clock.
 */
public final class SiteObserver {
    // An observation covers this time. Attempts are counted separately in the two halves of this window.
    private static final long WINDOW_MICROS = 2_000_000;
    private static final long HALF_WINDOW_MICROS = WINDOW_MICROS / 2;

    private final String ownSite;
    private final Map<String, AttemptCounter> previousHalf = new HashMap<>(); // By site.
    private final Map<String, AttemptCounter> currentHalf = new HashMap<>(); // By site.
    private final Map<String, UsualCount> usualCacheCounts = new HashMap<>(); // By site.
    private final Map<String, UsualCount> usualParentCounts = new HashMap<>(); // By hub.
    private long halfWindowStart;

    /** @param ownSite the director's site */
    public SiteObserver(String ownSite) {
        this.ownSite = ownSite;
    }

    /**
     * Counts a request of the director's clients.
     *
     * @param serviceMicros how long the response takes to send
     */
    public void recordRequest(long now, double serviceMicros) {
        counter(now, ownSite).addRequest(serviceMicros);
    }

    /**
     * Counts an attempt at a cache.
     *
     * @param site   site of the cache
     * @param result result of the attempt
     * @param slow   whether the attempt took longer than the latency objective of the request's class
     */
    public void recordAttempt(long now, String site, AttemptResult result, boolean slow) {
        counter(now, site).addAttempt(result, slow);
    }

    /** Counts a request that the routing engine rejected for lack of capacity at the own site. */
    public void recordRejection(long now) {
        counter(now, ownSite).addRejection();
    }

    private AttemptCounter counter(long now, String site) {
        advanceWindow(now);
        return currentHalf.computeIfAbsent(site, name -> new AttemptCounter());
    }

    private void advanceWindow(long now) {
        if (now - halfWindowStart < HALF_WINDOW_MICROS) {
            return;
        }
        previousHalf.clear();
        if (now - halfWindowStart < WINDOW_MICROS) {
            previousHalf.putAll(currentHalf);
        }
        currentHalf.clear();
        halfWindowStart = now;
    }

    /**
     * Returns the recent observation of each site.
     *
     * @param readyCaches  number of ready caches, by zone
     * @param readyParents number of ready parents, by zone
     */
    public Map<String, SiteObservation> observe(
            long now, Sites sites, Map<String, Integer> readyCaches, Map<String, Integer> readyParents) {
        advanceWindow(now);
        Map<String, SiteObservation> observations = new TreeMap<>();
        for (Site site : sites.byName().values()) {
            EndpointCount caches = countEndpoints(now, usualCacheCounts, site.name(), readyCaches);
            EndpointCount parents = site.hasHub()
                    ? countEndpoints(now, usualParentCounts, site.hub(), readyParents)
                    : EndpointCount.NONE;
            AttemptCounter firstHalf = previousHalf.getOrDefault(site.name(), new AttemptCounter());
            AttemptCounter secondHalf = currentHalf.getOrDefault(site.name(), new AttemptCounter());
            double load = site.name().equals(ownSite)
                    ? (firstHalf.serviceMicros() + secondHalf.serviceMicros()) / coveredMicros(now)
                    : 0;
            AttemptCounts attempts = firstHalf.counts().plus(secondHalf.counts());
            observations.put(site.name(), new SiteObservation(caches, parents, attempts, load));
        }
        return observations;
    }

    private static EndpointCount countEndpoints(
            long now, Map<String, UsualCount> usualCounts, String zone, Map<String, Integer> readyCounts) {
        int ready = readyCounts.getOrDefault(zone, 0);
        int usual = usualCounts.computeIfAbsent(zone, name -> new UsualCount()).update(now, ready);
        return new EndpointCount(usual, ready);
    }

    private long coveredMicros(long now) {
        return Math.max(1, Math.min(WINDOW_MICROS, now - halfWindowStart + HALF_WINDOW_MICROS));
    }
}
