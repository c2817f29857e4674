package pewtercourse.cluster;

import java.util.Map;
import java.util.Set;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;

/** What the cluster asks of the director around it. All on the event loop. */
public interface ClusterHost {
    /** What operators said, as all members have agreed: caches out and since when, those that came back and when. */
    void agreed(Map<String, Long> out, Map<String, Long> back);

    /** The zone of a cache or parent by its id, "" where it is not listed. */
    String zoneOf(String target);

    /** Caches listed in a zone. */
    int zoneSize(String zone);

    /** This director's part of a cold cache's budget, as a factor on what it has by itself. */
    void part(double factor);

    /** What it has seen of sites in the last seconds, by site; empty where sites are not kept. */
    default Map<String, SiteObservation> siteObservations() {
        return Map.of();
    }

    /** What is agreed on the sites has changed, or how many directors of its own site are there. */
    default void sites(FailoverState failover, Set<String> absent) {}

    /** How much of its part it could use in addition, as a share of a part; 0 if it needs no more. */
    double coldWanted();
}
