package pewtercourse.cluster;

import java.util.Map;
import java.util.Set;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;

/**
 * The services and callbacks that a cluster member needs from its director. Every method is called on the event loop.
 */
public interface ClusterHost {
    /**
     * Called when the committed sets of drained and reinstated caches have changed.
     *
     * @param drained    time of each drain by cache, in Unix milliseconds
     * @param reinstated time of each reinstatement by cache, in Unix milliseconds
     */
    void drainsChanged(Map<String, Long> drained, Map<String, Long> reinstated);

    /** Returns the zone whose caches this director serves, or "" if it has none. */
    default String ownZone() {
        return "";
    }

    /** Returns the zone of the cache or parent with this id, or "" if it is not listed. */
    String zoneOf(String target);

    /** Returns the number of caches listed in a zone. */
    int zoneSize(String zone);

    /**
     * Sets this director's quota of a cold cache's budget, as a factor on an equal share. Called often with an
     * unchanged factor.
     */
    void setQuotaFactor(double factor);

    /**
     * Returns the additional quota that this director could use, as a fraction of an equal share; 0 if it needs no
     * more.
     */
    double wantedQuota();

    /** Returns this director's observations of the last seconds by site; empty where no sites are configured. */
    default Map<String, SiteObservation> siteObservations() {
        return Map.of();
    }

    /**
     * Called when the committed failover state or the set of absent members has changed. Absent members are those from
     * which the leader has received nothing for a long time.
     */
    default void failoverChanged(FailoverState failover, Set<String> absentMembers) {}
}
