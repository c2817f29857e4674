package pewtercourse.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;

/**
 * Runs this member's failover controller. The controller takes in the observations of all members whether or not this
 * member holds the sites lease, and gives orders only while this member holds it. If no sites are configured, there is
 * no controller and no order.
 */
final class SiteOrders {
    private Optional<FailoverController> controller = Optional.empty();

    /** Replaces the configured sites. */
    void configure(long now, Sites sites, ClusterState state) {
        controller = Optional.of(
                controller.map(current -> current.withSites(sites)).orElseGet(() -> new FailoverController(sites)));
        onStateChanged(now, state);
    }

    void onStateChanged(long now, ClusterState state) {
        controller.ifPresent(current -> current.trackChanges(now, state.failover()));
    }

    /** Called after the report of a member's observations was applied. */
    void onObservationsApplied(long now, String member, Map<String, SiteObservation> observations) {
        controller.ifPresent(current -> current.detector().observe(now, member, observations));
    }

    /**
     * Returns the input for computing a failover plan; empty if no plan is due. Called only while this member holds the
     * sites lease.
     */
    Optional<FailoverPlanRequest> planInput(long now, ClusterState state) {
        return controller.flatMap(current -> current.requestPlan(now, state.failover()));
    }

    /** Takes the plan that was computed from the last {@link #planInput}. */
    void planComputed(long now, FailoverPlan plan) {
        controller.ifPresent(current -> current.planComputed(now, plan));
    }

    /** The load of each site, that is the concurrent transfers that its clients ask for, as last reported. */
    Map<String, Double> loads() {
        Map<String, Double> noLoads = Map.of();
        return controller
                .<Map<String, Double>>map(current -> current.detector().loads())
                .orElse(noLoads);
    }

    /** Returns the orders that the holder of the sites lease gives now with this fencing token. */
    List<Command> orders(long now, long token, ClusterState state, Set<String> members) {
        List<Command> orders = new ArrayList<>();
        controller.ifPresent(current -> {
            current.detector().retainMembers(members);
            current.proposeChanges(now, state.failover(), state.absentMembers())
                    .forEach(change -> orders.add(new Command.ChangeSiteStatus(change, token)));
            current.takeComputedPlan(state.failover())
                    .ifPresent(plan -> orders.add(new Command.PublishFailoverPlan(plan, token)));
        });
        return orders;
    }
}
