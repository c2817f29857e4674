package pewtercourse.failover;

import java.util.List;
import java.util.Set;

/**
 * One site as its operators describe it. Capacities are in concurrent transfers.
 *
 * @param name            unique among the sites; also the zone of its caches
 * @param hub             zone of the parents that it fills from; empty if the file names none
 * @param directors       members of the cluster that stand at this site
 * @param capacity        what its caches serve when they are warm; over 0
 * @param spareShare      share, 0 to 1, of its unused capacity that clients of other sites may use
 * @param reservedShare   share, 0 to 1, of {@code capacity} that is always kept for its own clients
 * @param fillCapacity    concurrent fills that its uplink carries; 0 for no limit
 * @param failoverTargets sites that may serve its clients when it is lost; empty if none may
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
     * A site that may serve another one's clients.
     *
     * @param site     its name
     * @param distance cost of one transfer from there, relative to other targets; over 0
     */
    public record FailoverTarget(String site, double distance) {}

    /** Whether the file names a hub, so that the site's parents can be counted. */
    boolean hasHub() {
        return !hub.isEmpty();
    }

    /**
     * What this site can serve for clients of other sites.
     *
     * @param load concurrent transfers that its own clients ask for
     */
    public double spareCapacity(double load) {
        return Math.max(0, Math.min(spareShare * (capacity - load), (1 - reservedShare) * capacity));
    }
}
