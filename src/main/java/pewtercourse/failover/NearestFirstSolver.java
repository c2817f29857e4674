package pewtercourse.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Fills the routes of a {@link TransportProblem} in the order of their distance, up to the remaining demand and supply.
 * The result may not be optimal, but the method always ends; it is the fallback for the simplex method.
 */
final class NearestFirstSolver {
    private NearestFirstSolver() {}

    /** Returns the load of each route. */
    static double[] solve(TransportProblem problem) {
        List<TransportProblem.Route> routes = problem.routes();
        double[] loadByRoute = new double[routes.size()];
        double[] remainingDemand = new double[problem.sourceCount()];
        for (int source = 0; source < remainingDemand.length; source++) {
            remainingDemand[source] = problem.demand(source);
        }
        SortedMap<String, Double> remainingSupply = new TreeMap<>(problem.supply());
        for (int i : nearestFirst(routes)) {
            TransportProblem.Route route = routes.get(i);
            loadByRoute[i] = Math.min(remainingDemand[route.source()], remainingSupply.get(route.target()));
            remainingDemand[route.source()] -= loadByRoute[i];
            remainingSupply.merge(route.target(), -loadByRoute[i], Double::sum);
        }
        return loadByRoute;
    }

    // Routes of equal distance keep their order.
    private static List<Integer> nearestFirst(List<TransportProblem.Route> routes) {
        List<Integer> order = new ArrayList<>();
        for (int route = 0; route < routes.size(); route++) {
            order.add(route);
        }
        order.sort(Comparator.comparingDouble(route -> routes.get(route).distance()));
        return order;
    }
}
