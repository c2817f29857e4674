package pewtercourse.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pewtercourse.cache.AttemptResult;

/**
 * Collects what this director sees of the sites: how its attempts at their caches end, and what its endpoint list has.
 * Times are microseconds of a monotonic clock.
 */
public final class SiteObserver {
    // An observation covers this time, counted in two halves.
    private static final long WINDOW_MICROS = 2_000_000;
    private static final long HALF_WINDOW_MICROS = WINDOW_MICROS / 2;

    private final String ownSite;
    private final Map<String, AttemptCounter> previous = new HashMap<>(); // By site.
    private final Map<String, AttemptCounter> current = new HashMap<>(); // By site.
    private final Map<String, UsualCount> usualCaches = new HashMap<>(); // By site.
    private final Map<String, UsualCount> usualParents = new HashMap<>(); // By hub.
    private long halfWindowStart;

    /** @param ownSite site of this director */
    public SiteObserver(String ownSite) {
        this.ownSite = ownSite;
    }

    /**
     * Counts a request of this director's clients.
     *
     * @param serviceMicros how long its response takes to send
     */
    public void recordRequest(long now, double serviceMicros) {
        counter(now, ownSite).addRequest(serviceMicros);
    }

    /**
     * Counts an attempt at a cache.
     *
     * @param site of the cache
     * @param end  how it ended
     * @param slow whether it took longer than the latency objective of its class
     */
    public void recordAttempt(long now, String site, AttemptResult end, boolean slow) {
        counter(now, site).addAttempt(end, slow);
    }

    /** Counts a request that the routing engine rejected for lack of capacity at the own site. */
    public void recordRejection(long now) {
        counter(now, ownSite).addRejection();
    }

    private AttemptCounter counter(long now, String site) {
        rotate(now);
        return current.computeIfAbsent(site, name -> new AttemptCounter());
    }

    private void rotate(long now) {
        if (now - halfWindowStart < HALF_WINDOW_MICROS) {
            return;
        }
        previous.clear();
        if (now - halfWindowStart < WINDOW_MICROS) {
            previous.putAll(current);
        }
        current.clear();
        halfWindowStart = now;
    }

    /**
     * What was seen of each site in the last seconds.
     *
     * @param readyCaches  number of ready caches, by zone
     * @param readyParents number of ready parents, by zone
     */
    public Map<String, SiteObservation> observe(
            long now, Sites sites, Map<String, Integer> readyCaches, Map<String, Integer> readyParents) {
        rotate(now);
        Map<String, SiteObservation> observations = new TreeMap<>();
        for (Site site : sites.byName().values()) {
            EndpointCount caches = count(now, usualCaches, site.name(), readyCaches);
            EndpointCount parents =
                    site.hasHub() ? count(now, usualParents, site.hub(), readyParents) : EndpointCount.NONE;
            AttemptCounter earlier = previous.getOrDefault(site.name(), new AttemptCounter());
            AttemptCounter later = current.getOrDefault(site.name(), new AttemptCounter());
            double load = site.name().equals(ownSite)
                    ? (earlier.serviceMicros() + later.serviceMicros()) / coveredMicros(now)
                    : 0;
            AttemptCounts attempts = earlier.counts().plus(later.counts());
            observations.put(site.name(), new SiteObservation(caches, parents, attempts, load));
        }
        return observations;
    }

    private static EndpointCount count(
            long now, Map<String, UsualCount> usualByZone, String zone, Map<String, Integer> readyByZone) {
        int ready = readyByZone.getOrDefault(zone, 0);
        int usual = usualByZone.computeIfAbsent(zone, name -> new UsualCount()).update(now, ready);
        return new EndpointCount(usual, ready);
    }

    private long coveredMicros(long now) {
        return Math.max(1, Math.min(WINDOW_MICROS, now - halfWindowStart + HALF_WINDOW_MICROS));
    }
}
