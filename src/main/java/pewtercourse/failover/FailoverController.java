package pewtercourse.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Declares the losses of sites, paces their recoveries and requests failover plans before they are needed. Every member
 * has a controller and passes observations to it, but only the holder of the lease on the sites proposes changes.
 * Durations are measured by this member's clock and start again when the lease moves to another member; the agreed
 * state is kept. {@code now} is in microseconds of this member's monotonic clock.
 */
public final class FailoverController {
    // A change that has not been agreed within this time is proposed again.
    private static final long PROPOSAL_TIMEOUT_MICROS = 300_000;

    /** The log index of a site's last change and the time at which this member first saw it. */
    private record SeenChange(long logIndex, long seenAt) {}

    private final Sites sites;
    private final SiteFailureDetector detector;
    private final SiteStatusPolicy policy;
    private final FailoverPlanSchedule planSchedule;
    private final Map<String, SeenChange> lastChanges = new HashMap<>(); // By site.
    private final Map<String, Long> proposedAt = new HashMap<>(); // By site.

    /** Creates a controller without observations. */
    public FailoverController(Sites sites) {
        this(sites, new SiteFailureDetector(sites));
    }

    private FailoverController(Sites sites, SiteFailureDetector detector) {
        this.sites = sites;
        this.detector = detector;
        this.policy = new SiteStatusPolicy(sites.timing());
        this.planSchedule = new FailoverPlanSchedule(sites.byName().keySet());
    }

    /** Returns a controller for the changed sites that keeps the observations of this one. */
    public FailoverController withSites(Sites changed) {
        return new FailoverController(changed, detector.withSites(changed));
    }

    /** The detector that receives the members' observations. */
    public SiteFailureDetector detector() {
        return detector;
    }

    /** Records when each site last changed. Every member calls this, whether or not it holds the lease. */
    public void trackChanges(long now, FailoverState state) {
        for (String site : sites.byName().keySet()) {
            long logIndex = state.status(site).lastChangeIndex();
            SeenChange lastSeen = lastChanges.get(site);
            if (lastSeen == null || lastSeen.logIndex() != logIndex) {
                lastChanges.put(site, new SeenChange(logIndex, now));
                proposedAt.remove(site);
            }
        }
    }

    /**
     * Returns the status changes that the lease holder has to propose now.
     *
     * @param absent members that the cluster counts as absent
     */
    public List<SiteStatusChange> proposeChanges(long now, FailoverState state, Set<String> absent) {
        trackChanges(now, state);
        detector.assessSites(now, absent);
        proposedAt.values().removeIf(proposalTime -> now - proposalTime >= PROPOSAL_TIMEOUT_MICROS);
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
                now - lastChanges.get(site).seenAt(),
                detector.health(site),
                detector.healthAgeMicros(now, site),
                detector.lossConfirmed(now, site),
                detector.ownAttempts(now, site));
    }

    /**
     * Returns the request for the plan that is due now; empty if none is due, or if one is being computed.
     */
    public Optional<FailoverPlanRequest> requestPlan(long now, FailoverState state) {
        return planSchedule.request(now, state, detector.loads());
    }

    /** Accepts the plan for the last {@link #requestPlan}; a plan that arrives too late is dropped. */
    public void planComputed(long now, FailoverPlan plan) {
        planSchedule.computed(now, plan);
    }

    /** Returns the computed plan once, to be proposed; empty if there is none, or if it is already in force. */
    public Optional<FailoverPlan> takeComputedPlan(FailoverState state) {
        return planSchedule.takeComputed(state);
    }
}
