package pewtercourse.failover;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is agreed on the sites: the status of each, and where loads go. The same at every member after the same changes;
 * who may make them is checked by the caller. A change names the log index of the change that it builds on and is
 * rejected once there is a later one, so that one that comes late, or twice, does nothing.
 */
public final class FailoverState {
    private final SortedMap<String, SiteStatus> statuses = new TreeMap<>();
    private FailoverPlan plan = FailoverPlan.EMPTY;
    private long version;

    /** The status of a site; {@link SiteStatus#INITIAL} if it was never changed. */
    public SiteStatus status(String site) {
        return statuses.getOrDefault(site, SiteStatus.INITIAL);
    }

    /** The statuses that were ever changed, by site; a read-only view. */
    public SortedMap<String, SiteStatus> statuses() {
        return Collections.unmodifiableSortedMap(statuses);
    }

    /** The plan in force. */
    public FailoverPlan plan() {
        return plan;
    }

    /** How many changes were made since this was created or restored. */
    public long version() {
        return version;
    }

    /** Sites whose load, or a part of it, is served elsewhere; a sorted copy. */
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
     * Applies a change by the lease holder.
     *
     * @param index log index of this change
     * @return false if the change builds on an older one, or if there are too many sites
     */
    public boolean changeStatus(long index, SiteStatusChange change) {
        SiteStatus next = status(change.site()).with(change, index);
        return replace(change.site(), change.expectedIndex(), next);
    }

    /**
     * Applies an operator's order to keep a site from recovering, or to release it, which ends a drill as well.
     *
     * @param index         log index of this change
     * @param expectedIndex log index of the change that it builds on
     * @return false if it builds on an older change, or if there are too many sites
     */
    public boolean setHeld(long index, String site, boolean held, long expectedIndex) {
        SiteStatus status = status(site);
        return replace(site, expectedIndex, status.withOperatorOrder(held, held && status.drill(), index));
    }

    /**
     * Applies an operator's order to have a site fail over on purpose, step by step, until it is released.
     *
     * @param index         log index of this change
     * @param expectedIndex log index of the change that it builds on
     * @return false if it builds on an older change, or if there are too many sites
     */
    public boolean startDrill(long index, String site, long expectedIndex) {
        SiteStatus status = status(site);
        return replace(site, expectedIndex, status.withOperatorOrder(status.held(), true, index));
    }

    private boolean replace(String site, long expectedIndex, SiteStatus next) {
        boolean outdated = status(site).lastChangeIndex() != expectedIndex;
        boolean full = statuses.size() >= Sites.MAX_SITES && !statuses.containsKey(site);
        if (outdated || full) {
            return false;
        }
        statuses.put(site, next);
        version++;
        return true;
    }

    /** Puts a plan by the lease holder in force. */
    public void setPlan(FailoverPlan newPlan) {
        plan = newPlan;
        version++;
    }

    /** Sets a status as a snapshot has it. */
    public void restore(String site, SiteStatus status) {
        statuses.put(site, status);
    }
}
