package pewtercourse.cluster;

import java.util.Map;
import java.util.Set;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;

/** What a cluster member asks and tells the director that hosts it. All on the event loop. */
public interface ClusterHost {
    /**
     * What operators had committed has changed.
     *
     * @param drained    caches out of rotation, and since when, in Unix milliseconds
     * @param reinstated caches that came back, and when
     */
    void drainsChanged(Map<String, Long> drained, Map<String, Long> reinstated);

    /** The zone of a cache or parent by its id, "" where it is not listed. */
    String zoneOf(String target);

    /** How many caches are listed in a zone. */
    int zoneSize(String zone);

    /** This director's quota of a cold cache's budget, as a factor on an equal share. Called often with the same one. */
    void setQuotaFactor(double factor);

    /** How much quota it could use in addition, as a fraction of an equal share; 0 if it needs no more. */
    double wantedQuota();

    /** What this director has observed of sites in the last seconds, by site; empty where no sites are configured. */
    default Map<String, SiteObservation> siteObservations() {
        return Map.of();
    }

    /** What is committed on the sites has changed, or which members the leader has not heard from for long. */
    default void failoverChanged(FailoverState failover, Set<String> absentMembers) {}
}
