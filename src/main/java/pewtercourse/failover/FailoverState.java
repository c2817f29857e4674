package pewtercourse.failover;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the agreed state of the sites: the status of each site and the failover plan. Members that apply the same
 * changes have the same state; the caller checks who may make a change. A status change names the log index of the
 * change that it builds on and is rejected if the site has changed since, so a late or repeated change has no effect.
 */
public final class FailoverState {
    private final SortedMap<String, SiteStatus> statuses = new TreeMap<>();
    private FailoverPlan plan = FailoverPlan.EMPTY;
    private long version;

    /** The status of a site; {@link SiteStatus#INITIAL} if the status has never changed. */
    public SiteStatus status(String site) {
        return statuses.getOrDefault(site, SiteStatus.INITIAL);
    }

    /** The statuses of all sites whose status has ever changed, by site; a read-only view. */
    public SortedMap<String, SiteStatus> statuses() {
        return Collections.unmodifiableSortedMap(statuses);
    }

    /** The plan in force. */
    public FailoverPlan plan() {
        return plan;
    }

    /** The number of changes applied to this object; restored statuses don't count. */
    public long version() {
        return version;
    }

    /** The sites whose load, or a part of it, other sites serve; a sorted copy. */
    public Set<String> divertedSites() {
        Set<String> diverted = new TreeSet<>();
        statuses.forEach((name, status) -> {
            if (status.diverted()) {
                diverted.add(name);
            }
        });
        return diverted;
    }

    /**
     * Applies a status change that the lease holder proposed.
     *
     * @param index log index of this change
     * @return false if the site has changed since the expected index, or if there are too many sites
     */
    public boolean changeStatus(long index, SiteStatusChange change) {
        SiteStatus newStatus = status(change.site()).with(change, index);
        return replace(change.site(), change.expectedIndex(), newStatus);
    }

    /**
     * Applies an operator's command to keep a site from recovering, or to release it; a release also ends a drill.
     *
     * @param index         log index of this change
     * @param expectedIndex log index of the site's change that this one builds on
     * @return false if the site has changed since the expected index, or if there are too many sites
     */
    public boolean setHeld(long index, String site, boolean held, long expectedIndex) {
        SiteStatus status = status(site);
        return replace(site, expectedIndex, status.withOperatorCommand(held, held && status.drill(), index));
    }

    /**
     * Applies an operator's command to start a drill: the site fails over step by step until it is released.
     *
     * @param index         log index of this change
     * @param expectedIndex log index of the site's change that this one builds on
     * @return false if the site has changed since the expected index, or if there are too many sites
     */
    public boolean startDrill(long index, String site, long expectedIndex) {
        SiteStatus status = status(site);
        return replace(site, expectedIndex, status.withOperatorCommand(status.held(), true, index));
    }

    private boolean replace(String site, long expectedIndex, SiteStatus newStatus) {
        boolean outdated = status(site).lastChangeIndex() != expectedIndex;
        boolean full = statuses.size() >= Sites.MAX_SITES && !statuses.containsKey(site);
        if (outdated || full) {
            return false;
        }
        statuses.put(site, newStatus);
        version++;
        return true;
    }

    /** Puts a plan that the lease holder proposed in force. */
    public void setPlan(FailoverPlan newPlan) {
        plan = newPlan;
        version++;
    }

    /** Restores a site's status from a snapshot. */
    public void restore(String site, SiteStatus status) {
        statuses.put(site, status);
    }
}
