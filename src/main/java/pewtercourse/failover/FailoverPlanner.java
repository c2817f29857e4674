package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes how the load of sites would be distributed over their failover targets if one or two sites were lost. Fills
 * the targets up to their spare capacity and prefers the shortest routes. The plan depends only on the input, not on
 * the clock. Planning for many sites takes milliseconds, so call it off the event loop.
 */
public final class FailoverPlanner {
    private static final int MAX_ITERATIONS = 20_000;
    // With more sites, only single losses are planned for.
    private static final int MAX_SITES_FOR_PAIRS = 16;
    // A current distribution that overloads no target is replaced only if it costs more than the new one by this
    // share. Otherwise each small change of load would move cached copies between sites.
    private static final double MIN_EXTRA_COST_SHARE = 0.1;

    private final SimplexTransportSolver solver;

    /** Creates a planner with the default limit of solver iterations. */
    public FailoverPlanner() {
        this(MAX_ITERATIONS);
    }

    /** Creates a planner that falls back to {@link NearestFirstSolver} after this many iterations of its solver. */
    FailoverPlanner(int maxIterations) {
        solver = new SimplexTransportSolver(maxIterations);
    }

    /** Computes a plan; keeps each case of the current plan for which a new distribution would save little. */
    public FailoverPlan plan(Sites sites, FailoverPlanRequest request) {
        SortedMap<String, SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        List<String> names = List.copyOf(sites.byName().keySet());
        for (Set<String> lost : possibleLosses(names, request.lost())) {
            String key = FailoverPlan.key(lost);
            TransportProblem problem = new TransportProblem(sites, request.loads(), lost, request.ineligible());
            SortedMap<String, FailoverPlan.Distribution> computed = solve(problem);
            cases.put(
                    key,
                    Optional.ofNullable(request.current().cases().get(key))
                            .filter(current -> isWorthKeeping(problem, current, computed))
                            .orElse(computed));
        }
        return new FailoverPlan(cases);
    }

    private SortedMap<String, FailoverPlan.Distribution> solve(TransportProblem problem) {
        double[] loadByRoute = solver.solve(problem).orElseGet(() -> NearestFirstSolver.solve(problem));
        return problem.distributions(loadByRoute);
    }

    private static boolean isWorthKeeping(
            TransportProblem problem,
            SortedMap<String, FailoverPlan.Distribution> current,
            SortedMap<String, FailoverPlan.Distribution> computed) {
        if (!problem.withinSupply(current)) {
            return false;
        }
        double maxCurrentCost = problem.cost(computed) * (1 + MIN_EXTRA_COST_SHARE) + TransportProblem.NEGLIGIBLE_LOAD;
        return problem.cost(current) <= maxCurrentCost;
    }

    // Returns the sites that are lost now, this set with each further site, and each pair while no site is lost.
    private static List<Set<String>> possibleLosses(List<String> names, Set<String> lost) {
        boolean planPairs = lost.isEmpty() && names.size() <= MAX_SITES_FOR_PAIRS;
        List<Set<String>> losses = new ArrayList<>();
        if (!lost.isEmpty()) {
            losses.add(new TreeSet<>(lost));
        }
        for (int first = 0; first < names.size(); first++) {
            if (!lost.contains(names.get(first))) {
                Set<String> withFirst = withSite(lost, names.get(first));
                losses.add(withFirst);
                for (int second = first + 1; planPairs && second < names.size(); second++) {
                    losses.add(withSite(withFirst, names.get(second)));
                }
            }
        }
        return losses;
    }

    private static Set<String> withSite(Set<String> lost, String additionalSite) {
        Set<String> extended = new TreeSet<>(lost);
        extended.add(additionalSite);
        return extended;
    }
}
