package pewtercourse.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Fills the routes of a {@link TransportProblem} in the order of their distance, as far as demand and supply go. Not
 * optimal, but it always ends: the fallback for the simplex method.
 */
final class NearestFirstSolver {
    private NearestFirstSolver() {}

    /** The load of each route. */
    static double[] solve(TransportProblem problem) {
        List<TransportProblem.Route> routes = problem.routes();
        double[] load = new double[routes.size()];
        double[] openDemand = new double[problem.sourceCount()];
        for (int source = 0; source < openDemand.length; source++) {
            openDemand[source] = problem.demand(source);
        }
        SortedMap<String, Double> openSupply = new TreeMap<>(problem.supply());
        for (int i : nearestFirst(routes)) {
            TransportProblem.Route route = routes.get(i);
            load[i] = Math.min(openDemand[route.source()], openSupply.get(route.target()));
            openDemand[route.source()] -= load[i];
            openSupply.merge(route.target(), -load[i], Double::sum);
        }
        return load;
    }

    // Of equally long routes the first one.
    private static List<Integer> nearestFirst(List<TransportProblem.Route> routes) {
        List<Integer> order = new ArrayList<>();
        for (int route = 0; route < routes.size(); route++) {
            order.add(route);
        }
        order.sort(Comparator.comparingDouble(route -> routes.get(route).distance()));
        return order;
    }
}
