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
 * This member's failover controller. It follows what all members observe whether or not this member holds the sites
 * lease, and gives orders only while it does. Without configured sites it does nothing.
 */
final class SiteOrders {
    private Optional<FailoverController> controller = Optional.empty();

    /** The sites as they are configured from now on. */
    void configure(long now, Sites sites, ClusterState state) {
        controller = Optional.of(
                controller.map(current -> current.withSites(sites)).orElseGet(() -> new FailoverController(sites)));
        follow(now, state);
    }

    void follow(long now, ClusterState state) {
        controller.ifPresent(current -> current.trackChanges(now, state.failover()));
    }

    /** A member's observations were agreed. */
    void observed(long now, String member, Map<String, SiteObservation> observations) {
        controller.ifPresent(current -> current.detector().observe(now, member, observations));
    }

    /** What a failover plan is to be computed from; empty if none is due. Asked only by the holder of the lease. */
    Optional<FailoverPlanRequest> planInput(long now, ClusterState state) {
        return controller.flatMap(current -> current.requestPlan(now, state.failover()));
    }

    /** The plan from the last {@link #planInput}. */
    void planComputed(long now, FailoverPlan plan) {
        controller.ifPresent(current -> current.planComputed(now, plan));
    }

    /** Transfers at once that each site's clients ask for, as last reported. */
    Map<String, Double> loads() {
        Map<String, Double> none = Map.of();
        return controller
                .<Map<String, Double>>map(current -> current.detector().loads())
                .orElse(none);
    }

    /** The orders of the holder of the sites lease with this fencing token. */
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
