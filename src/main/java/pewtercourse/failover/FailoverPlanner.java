package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Distributes the load of every site that could be lost, one or two at a time, over its failover targets: as much as
 * their spare capacity allows, the shortest routes first. Equal input, equal plan. Knows no clock, and takes
 * milliseconds for many sites: to be called off the event loop.
 */
public final class FailoverPlanner {
    private static final int MAX_ITERATIONS = 20_000;
    // With more sites than these only single losses are planned for.
    private static final int MAX_SITES_FOR_PAIRS = 16;
    // A plan stays unless a new one saves at least this share of its cost: else each change of load would move copies
    // about.
    private static final double MIN_SAVING = 0.1;

    private final SimplexTransportSolver solver;

    /** A planner with the default limit of solver iterations. */
    public FailoverPlanner() {
        this(MAX_ITERATIONS);
    }

    /** A planner whose solver gives up after so many iterations, so that the fallback acts. */
    FailoverPlanner(int maxIterations) {
        solver = new SimplexTransportSolver(maxIterations);
    }

    /** Computes a plan; cases of the current one stay where a new one would gain little. */
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
                            .filter(current -> stays(problem, current, computed))
                            .orElse(computed));
        }
        return new FailoverPlan(cases);
    }

    private SortedMap<String, FailoverPlan.Distribution> solve(TransportProblem problem) {
        double[] loadByRoute = solver.solve(problem).orElseGet(() -> NearestFirstSolver.solve(problem));
        return problem.distributions(loadByRoute);
    }

    private static boolean stays(
            TransportProblem problem,
            SortedMap<String, FailoverPlan.Distribution> current,
            SortedMap<String, FailoverPlan.Distribution> computed) {
        if (!problem.withinSupply(current)) {
            return false;
        }
        double limit = problem.cost(computed) * (1 + MIN_SAVING) + TransportProblem.NEGLIGIBLE_LOAD;
        return problem.cost(current) <= limit;
    }

    // The sites that are lost now, these with each further one, and, while none is lost, each pair.
    private static List<Set<String>> possibleLosses(List<String> names, Set<String> lost) {
        boolean planPairs = lost.isEmpty() && names.size() <= MAX_SITES_FOR_PAIRS;
        List<Set<String>> losses = new ArrayList<>();
        if (!lost.isEmpty()) {
            losses.add(new TreeSet<>(lost));
        }
        for (int first = 0; first < names.size(); first++) {
            if (!lost.contains(names.get(first))) {
                Set<String> withFirst = with(lost, names.get(first));
                losses.add(withFirst);
                for (int second = first + 1; planPairs && second < names.size(); second++) {
                    losses.add(with(withFirst, names.get(second)));
                }
            }
        }
        return losses;
    }

    private static Set<String> with(Set<String> some, String further) {
        Set<String> all = new TreeSet<>(some);
        all.add(further);
        return all;
    }
}
