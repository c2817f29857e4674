package pewtercourse.failover;

import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;

/**
 * Decides when a new failover plan is due, and keeps the computed plan until it is proposed. Computing a plan takes
 * milliseconds, so the caller does it off the event loop and returns the result; only one request is pending at a time.
 */
final class FailoverPlanSchedule {
    private static final long PLAN_INTERVAL_MICROS = 5_000_000;
    // A plan that takes longer to compute is dropped.
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

    /** Returns the request for the plan that is due now; empty if none is due, or if one is being computed. */
    Optional<FailoverPlanRequest> request(long now, FailoverState state, SortedMap<String, Double> loads) {
        Set<String> lost = state.divertedSites();
        lost.retainAll(knownSites);
        // The first load report of a site makes a plan due at once: without loads there is nothing to plan.
        boolean unchanged = lost.equals(plannedLosses) && loads.keySet().equals(sitesWithLoad);
        if (requestPending(now) || now < nextPlanAt && unchanged) {
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

    /** Accepts the plan for the last request; a plan that arrives too late is dropped. */
    void computed(long now, FailoverPlan plan) {
        if (requestPending(now)) {
            computed = Optional.of(plan);
        }
        requestedAt = NOT_REQUESTED;
    }

    private boolean requestPending(long now) {
        return requestedAt != NOT_REQUESTED && now - requestedAt < PLAN_TIMEOUT_MICROS;
    }

    /** Returns the computed plan once; empty if there is none, or if it is already in force. */
    Optional<FailoverPlan> takeComputed(FailoverState state) {
        Optional<FailoverPlan> plan = computed.filter(candidate -> !candidate.equals(state.plan()));
        computed = Optional.empty();
        return plan;
    }
}
