package pewtercourse.failover;

import java.util.List;
import java.util.Set;

/**
 * The operators' description of one site. Capacities are in concurrent transfers.
 *
 * @param name            unique among the sites; also the zone of its caches
 * @param hub             zone of the parents that the site fills from; empty if the file names none
 * @param directors       members of the cluster that run at this site
 * @param capacity        load that the site's caches serve when they are warm; over 0
 * @param spareShare      share, 0 to 1, of the unused capacity that clients of other sites may use
 * @param reservedShare   share, 0 to 1, of {@code capacity} that is always kept for the site's own clients
 * @param fillCapacity    concurrent fills that the site's uplink carries; 0 for no limit
 * @param failoverTargets sites that may serve the clients of this site while it is lost; may be empty
 */
public record Site(
        String name,
        String hub,
        Set<String> directors,
        double capacity,
        double spareShare,
        double reservedShare,
        double fillCapacity,
        List<FailoverTarget> failoverTargets) {
    /**
     * A site that may serve the clients of another site while that one is lost.
     *
     * @param site     name of the target
     * @param distance cost of one transfer from the target, relative to other targets; over 0
     */
    public record FailoverTarget(String site, double distance) {}

    /** Whether the file names a hub, so that the site's parents can be counted. */
    boolean hasHub() {
        return !hub.isEmpty();
    }

    /**
     * Returns the load that this site can serve for clients of other sites.
     *
     * @param load concurrent transfers that the site's own clients request
     */
    public double spareCapacity(double load) {
        return Math.max(0, Math.min(spareShare * (capacity - load), (1 - reservedShare) * capacity));
    }
}
