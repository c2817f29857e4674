package pewtercourse.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the lease holder of the sites does: declares losses, paces recoveries and has plans computed before they are
 * needed. Every member feeds one. Durations that it measures by its own clock start anew when the lease moves to
 * another member; what is agreed does not. {@code now} is microseconds of this member's monotonic clock.
 */
public final class FailoverController {
    // A change that was not agreed by then is proposed again.
    private static final long PROPOSE_AGAIN_MICROS = 300_000;

    /** When this member first saw a site's last change. */
    private record SeenChange(long index, long at) {}

    private final Sites sites;
    private final SiteFailureDetector detector;
    private final SiteStatusPolicy policy;
    private final FailoverPlanSchedule planSchedule;
    private final Map<String, SeenChange> lastChanges = new HashMap<>(); // By site.
    private final Map<String, Long> proposedAt = new HashMap<>(); // By site.

    /** A controller that has seen nothing yet. */
    public FailoverController(Sites sites) {
        this(sites, new SiteFailureDetector(sites));
    }

    private FailoverController(Sites sites, SiteFailureDetector detector) {
        this.sites = sites;
        this.detector = detector;
        this.policy = new SiteStatusPolicy(sites.timing());
        this.planSchedule = new FailoverPlanSchedule(sites.byName().keySet());
    }

    /** A controller for changed sites that keeps what was observed so far. */
    public FailoverController withSites(Sites changed) {
        return new FailoverController(changed, detector.withSites(changed));
    }

    /** The detector that members' observations are fed to. */
    public SiteFailureDetector detector() {
        return detector;
    }

    /** Notes when each site's last change was made; to be called at every member, whether or not it holds the lease. */
    public void trackChanges(long now, FailoverState state) {
        for (String site : sites.byName().keySet()) {
            long index = state.status(site).lastChangeIndex();
            SeenChange seen = lastChanges.get(site);
            if (seen == null || seen.index() != index) {
                lastChanges.put(site, new SeenChange(index, now));
                proposedAt.remove(site);
            }
        }
    }

    /**
     * The changes that the lease holder has to propose now.
     *
     * @param absent members that the cluster counts as absent
     */
    public List<SiteStatusChange> proposeChanges(long now, FailoverState state, Set<String> absent) {
        trackChanges(now, state);
        detector.judge(now, absent);
        proposedAt.values().removeIf(at -> now - at >= PROPOSE_AGAIN_MICROS);
        List<SiteStatusChange> changes = new ArrayList<>();
        for (String site : sites.byName().keySet()) {
            Optional<SiteStatusChange> change = policy.nextChange(situation(now, site, state.status(site)));
            if (change.isPresent() && proposedAt.putIfAbsent(site, now) == null) {
                changes.add(change.get());
            }
        }
        return changes;
    }

    private SiteSituation situation(long now, String site, SiteStatus status) {
        return new SiteSituation(
                site,
                status,
                now - lastChanges.get(site).at(),
                detector.health(site),
                detector.healthAgeMicros(now, site),
                detector.lossConfirmed(now, site),
                detector.ownAttempts(now, site));
    }

    /**
     * What the lease holder has to have a plan computed from now; empty if none is due, or if one is being computed.
     */
    public Optional<FailoverPlanRequest> requestPlan(long now, FailoverState state) {
        return planSchedule.request(now, state, detector.loads());
    }

    /** Takes the plan for the last {@link #requestPlan}; one that comes too late is dropped. */
    public void planComputed(long now, FailoverPlan plan) {
        planSchedule.computed(now, plan);
    }

    /** Hands out the computed plan once, to be proposed; empty if there is none, or if it is already in force. */
    public Optional<FailoverPlan> takeComputedPlan(FailoverState state) {
        return planSchedule.takeComputed(state);
    }
}
