package pewtercourse.failover;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is agreed on the sites: how each stands, and where loads go. The same at every member after the same changes; who
 * may make them is checked by whoever calls this. A change names the entry of the one that it builds on and is refused
 * once there is a later one, so that one that comes late, or twice, does nothing.
 */
public final class FailoverState {
    private final SortedMap<String, SiteStatus> statuses = new TreeMap<>();
    private FailoverPlan plan = FailoverPlan.NONE;
    private long version;

    /** A site that nothing was said of is whole. */
    public SiteStatus status(String site) {
        return statuses.getOrDefault(site, SiteStatus.WHOLE);
    }

    /** Those of which something was said. */
    public SortedMap<String, SiteStatus> statuses() {
        return Collections.unmodifiableSortedMap(statuses);
    }

    public FailoverPlan plan() {
        return plan;
    }

    /** Changes since this was made or read. */
    public long version() {
        return version;
    }

    /** Sites whose load, or a part of it, is served elsewhere. */
    public Set<String> away() {
        Set<String> away = new TreeSet<>();
        statuses.forEach((name, s) -> {
            if (s.away()) {
                away.add(name);
            }
        });
        return away;
    }

    /** By the holder of the duty. False if it builds on an older entry, or there are too many sites. */
    public boolean declare(
            long entry, String site, SiteStatus.Phase phase, SiteHealth health, int step, int flaps, long after) {
        return put(site, after, status(site).to(phase, health, step, flaps, entry));
    }

    /** By an operator: whether it is kept from returning. Letting it go ends a drill too. */
    public boolean hold(long entry, String site, boolean on, long after) {
        SiteStatus s = status(site);
        return put(site, after, new SiteStatus(s.phase(), s.health(), s.step(), s.flaps(), on, on && s.drill(), entry));
    }

    /** By an operator: it is to be lost on purpose, step by step, until it is let go. */
    public boolean drill(long entry, String site, long after) {
        SiteStatus s = status(site);
        return put(site, after, new SiteStatus(s.phase(), s.health(), s.step(), s.flaps(), s.held(), true, entry));
    }

    private boolean put(String site, long after, SiteStatus to) {
        if (status(site).entry() != after || statuses.size() >= Sites.MOST && !statuses.containsKey(site)) {
            return false;
        }
        statuses.put(site, to);
        version++;
        return true;
    }

    /** By the holder of the duty. */
    public void plan(FailoverPlan to) {
        plan = to;
        version++;
    }

    /** As it was saved. */
    public void restore(String site, SiteStatus status) {
        statuses.put(site, status);
    }
}
