package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The transport problem of one set of lost sites. The load of each lost site is a demand, and the spare capacity of
 * each failover target is a supply. Each allowed pair of a lost site and a target is a route whose cost is its
 * distance. Load is in concurrent transfers.
 */
final class TransportProblem {
    /** A load up to this value counts as no load. */
    static final double NEGLIGIBLE_LOAD = 1e-6;

    // Rejecting a transfer costs this many times the longest route, so only excess load is rejected.
    private static final double REJECTION_FACTOR = 1_000;
    // A plan has to be replaced once it exceeds the supply of a target by more than this share.
    private static final double OVERLOAD_TOLERANCE = 0.05;

    /**
     * A route from a lost site to a failover target.
     *
     * @param source   index of the lost site
     * @param target   name of the failover target
     * @param distance cost of one transfer
     */
    record Route(int source, String target, double distance) {}

    private final List<String> lostSites;
    private final double[] demand; // By lost site.
    private final List<Route> routes = new ArrayList<>();
    private final SortedMap<String, Double> supply = new TreeMap<>(); // By target.

    TransportProblem(Sites sites, Map<String, Double> loads, Set<String> lost, Set<String> ineligible) {
        lostSites = List.copyOf(lost);
        demand = new double[lost.size()];
        for (int source = 0; source < demand.length; source++) {
            String lostSite = lostSites.get(source);
            demand[source] = loads.getOrDefault(lostSite, 0.0);
            for (Site.FailoverTarget candidate : sites.byName().get(lostSite).failoverTargets()) {
                String name = candidate.site();
                Site target = sites.byName().get(name);
                if (target != null && !lost.contains(name) && !ineligible.contains(name)) {
                    supply.put(name, supply(target, loads.getOrDefault(name, 0.0), sites.guestMissRatio()));
                    routes.add(new Route(source, name, candidate.distance()));
                }
            }
        }
    }

    private static double supply(Site target, double ownLoad, double guestMissRatio) {
        double spare = target.spareCapacity(ownLoad);
        // The uplink also carries the fills for the target's own clients, whose requests miss half as often as
        // those of guests.
        double fillLimit = target.fillCapacity() == 0
                ? spare
                : Math.max(0, target.fillCapacity() - ownLoad * guestMissRatio / 2) / guestMissRatio;
        // A response that has to be filled occupies its transfer about twice as long as a hit.
        return Math.min(spare / (1 + guestMissRatio), fillLimit);
    }

    int sourceCount() {
        return demand.length;
    }

    double demand(int source) {
        return demand[source];
    }

    List<Route> routes() {
        return routes;
    }

    SortedMap<String, Double> supply() {
        return supply;
    }

    double farthestDistance() {
        return routes.stream().mapToDouble(Route::distance).max().orElse(1);
    }

    /** The cost of rejecting one transfer. */
    double rejectionCost() {
        return REJECTION_FACTOR * farthestDistance();
    }

    /**
     * Returns the distribution of each lost site's load, by the name of the site. The lost sites that use a target
     * divide its complete supply in proportion to their load at the target.
     *
     * @param loadByRoute the load of each of the {@link #routes}
     */
    SortedMap<String, FailoverPlan.Distribution> distributions(double[] loadByRoute) {
        SortedMap<String, Double> loadByTarget = new TreeMap<>();
        for (int route = 0; route < loadByRoute.length; route++) {
            loadByTarget.merge(routes.get(route).target(), loadByRoute[route], Double::sum);
        }
        SortedMap<String, FailoverPlan.Distribution> distributions = new TreeMap<>();
        for (int source = 0; source < demand.length; source++) {
            distributions.put(lostSites.get(source), distribution(source, loadByRoute, loadByTarget));
        }
        return distributions;
    }

    private FailoverPlan.Distribution distribution(
            int source, double[] loadByRoute, SortedMap<String, Double> loadByTarget) {
        List<FailoverPlan.Allocation> allocations = new ArrayList<>();
        double allocated = 0;
        for (int routeIndex = 0; routeIndex < loadByRoute.length; routeIndex++) {
            Route route = routes.get(routeIndex);
            double load = loadByRoute[routeIndex];
            if (route.source() == source && load > NEGLIGIBLE_LOAD) {
                double max = supply.get(route.target()) * load / loadByTarget.get(route.target());
                allocations.add(new FailoverPlan.Allocation(route.target(), load, max));
                allocated += load;
            }
        }
        return new FailoverPlan.Distribution(allocations, Math.max(0, demand[source] - allocated));
    }

    /** Returns the cost of these distributions if their allocations are scaled to the present loads. */
    double cost(SortedMap<String, FailoverPlan.Distribution> distributions) {
        double cost = 0;
        double farthestDistance = farthestDistance();
        for (int source = 0; source < demand.length; source++) {
            FailoverPlan.Distribution distribution = distribution(distributions, source);
            double allocated = 0;
            for (FailoverPlan.Allocation allocation : distribution.allocations()) {
                double load = presentLoad(source, distribution, allocation);
                allocated += load;
                cost += load * distance(source, allocation.site());
            }
            cost += Math.max(0, demand[source] - allocated) * REJECTION_FACTOR * farthestDistance;
        }
        return cost;
    }

    /** Whether these distributions exceed the present supply of no target by more than the tolerance. */
    boolean withinSupply(SortedMap<String, FailoverPlan.Distribution> distributions) {
        SortedMap<String, Double> maxLoadByTarget = new TreeMap<>();
        for (int source = 0; source < demand.length; source++) {
            FailoverPlan.Distribution distribution = distribution(distributions, source);
            for (FailoverPlan.Allocation allocation : distribution.allocations()) {
                double load = presentLoad(source, distribution, allocation);
                maxLoadByTarget.merge(allocation.site(), Math.max(load, allocation.max()), Double::sum);
            }
        }
        return maxLoadByTarget.entrySet().stream().allMatch(entry -> entry.getValue() <= toleratedLoad(entry.getKey()));
    }

    private double toleratedLoad(String target) {
        return supply.getOrDefault(target, 0.0) * (1 + OVERLOAD_TOLERANCE) + NEGLIGIBLE_LOAD;
    }

    private FailoverPlan.Distribution distribution(
            SortedMap<String, FailoverPlan.Distribution> distributions, int source) {
        return distributions.getOrDefault(lostSites.get(source), FailoverPlan.Distribution.EMPTY);
    }

    private double presentLoad(int source, FailoverPlan.Distribution distribution, FailoverPlan.Allocation allocation) {
        double plannedLoad = distribution.total();
        return plannedLoad <= NEGLIGIBLE_LOAD ? 0 : demand[source] * allocation.load() / plannedLoad;
    }

    private double distance(int source, String target) {
        return routes.stream()
                .filter(route -> route.source() == source && route.target().equals(target))
                .mapToDouble(Route::distance)
                .findFirst()
                .orElse(0);
    }
}
