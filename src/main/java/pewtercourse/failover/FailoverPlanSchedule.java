package pewtercourse.failover;

import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;

/**
 * Decides when a new failover plan is due, and keeps the computed one until it is proposed. Plans take milliseconds to
 * compute, so the caller does that elsewhere and reports back; one request is under way at a time.
 */
final class FailoverPlanSchedule {
    private static final long PLAN_INTERVAL_MICROS = 5_000_000;
    // A plan that takes longer than this to compute is dropped.
    private static final long PLAN_TIMEOUT_MICROS = 2_000_000;
    private static final long NOT_REQUESTED = Long.MIN_VALUE;

    private final Set<String> knownSites;
    private Set<String> plannedLosses = Set.of();
    private Set<String> sitesWithLoad = Set.of();
    private long nextPlanAt = Long.MIN_VALUE;
    private long requestedAt = NOT_REQUESTED;
    private Optional<FailoverPlan> computed = Optional.empty();

    FailoverPlanSchedule(Set<String> knownSites) {
        this.knownSites = knownSites;
    }

    /** What a plan is to be computed from now; empty if none is due, or if one is being computed. */
    Optional<FailoverPlanRequest> request(long now, FailoverState state, SortedMap<String, Double> loads) {
        Set<String> lost = state.divertedSites();
        lost.retainAll(knownSites);
        // The first report of a site's load counts at once: without it a plan has nothing to distribute.
        boolean unchanged = lost.equals(plannedLosses) && loads.keySet().equals(sitesWithLoad);
        if (underWay(now) || now < nextPlanAt && unchanged) {
            return Optional.empty();
        }
        plannedLosses = lost;
        sitesWithLoad = Set.copyOf(loads.keySet());
        nextPlanAt = now + PLAN_INTERVAL_MICROS;
        requestedAt = now;
        return Optional.of(new FailoverPlanRequest(loads, lost, ineligibleSites(state), state.plan()));
    }

    private static Set<String> ineligibleSites(FailoverState state) {
        Set<String> ineligible = new TreeSet<>();
        state.statuses().forEach((name, status) -> {
            if (status.phase() != SiteStatus.Phase.WHOLE) {
                ineligible.add(name);
            }
        });
        return ineligible;
    }

    /** Takes the plan for the last request; one that comes too late leaves the last one in force. */
    void computed(long now, FailoverPlan plan) {
        if (underWay(now)) {
            computed = Optional.of(plan);
        }
        requestedAt = NOT_REQUESTED;
    }

    private boolean underWay(long now) {
        return requestedAt != NOT_REQUESTED && now - requestedAt < PLAN_TIMEOUT_MICROS;
    }

    /** Hands out the computed plan once; empty if there is none, or if it is the one in force. */
    Optional<FailoverPlan> takeComputed(FailoverState state) {
        Optional<FailoverPlan> plan = computed.filter(candidate -> !candidate.equals(state.plan()));
        computed = Optional.empty();
        return plan;
    }
}
