package pewtercourse.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.exception.MathIllegalStateException;
import org.apache.commons.math3.optim.MaxIter;
import org.apache.commons.math3.optim.linear.LinearConstraint;
import org.apache.commons.math3.optim.linear.LinearConstraintSet;
import org.apache.commons.math3.optim.linear.LinearObjectiveFunction;
import org.apache.commons.math3.optim.linear.NonNegativeConstraint;
import org.apache.commons.math3.optim.linear.Relationship;
import org.apache.commons.math3.optim.linear.SimplexSolver;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;

/**
 * Solves a {@link TransportProblem} at minimum cost by the simplex method (Dantzig, "Linear Programming and
 * Extensions", 1963). The variables are the load of each route, then the rejected load of each lost site.
 */
final class SimplexTransportSolver {
    // Makes the first of several routes of equal distance the cheapest, so that equal input gives an equal plan.
    private static final double TIE_BREAK = 1e-9;

    private final int maxIterations;

    SimplexTransportSolver(int maxIterations) {
        this.maxIterations = maxIterations;
    }

    /** Returns the load of each route; empty if the solver gives up. */
    Optional<double[]> solve(TransportProblem problem) {
        int routeCount = problem.routes().size();
        if (routeCount == 0) {
            return Optional.of(new double[0]);
        }
        try {
            double[] solution = new SimplexSolver()
                    .optimize(
                            new MaxIter(maxIterations),
                            new LinearObjectiveFunction(costs(problem), 0),
                            new LinearConstraintSet(constraints(problem)),
                            GoalType.MINIMIZE,
                            new NonNegativeConstraint(true))
                    .getPoint();
            return Optional.of(Arrays.copyOf(solution, routeCount));
        } catch (MathIllegalStateException e) {
            return Optional.empty();
        }
    }

    private static int variableCount(TransportProblem problem) {
        return problem.routes().size() + problem.sourceCount();
    }

    private static double[] costs(TransportProblem problem) {
        int routeCount = problem.routes().size();
        double[] costs = new double[variableCount(problem)];
        for (int route = 0; route < routeCount; route++) {
            costs[route] = problem.routes().get(route).distance() * (1 + route * TIE_BREAK);
        }
        Arrays.fill(costs, routeCount, costs.length, problem.rejectionCost());
        return costs;
    }

    private static List<LinearConstraint> constraints(TransportProblem problem) {
        List<LinearConstraint> constraints = new ArrayList<>();
        for (int source = 0; source < problem.sourceCount(); source++) {
            constraints.add(demandIsMet(problem, source));
        }
        problem.supply().forEach((target, supply) -> constraints.add(withinSupply(problem, target, supply)));
        return constraints;
    }

    private static LinearConstraint demandIsMet(TransportProblem problem, int source) {
        double[] coefficients = new double[variableCount(problem)];
        List<TransportProblem.Route> routes = problem.routes();
        for (int route = 0; route < routes.size(); route++) {
            coefficients[route] = routes.get(route).source() == source ? 1 : 0;
        }
        coefficients[routes.size() + source] = 1;
        return new LinearConstraint(coefficients, Relationship.EQ, problem.demand(source));
    }

    private static LinearConstraint withinSupply(TransportProblem problem, String target, double supply) {
        double[] coefficients = new double[variableCount(problem)];
        List<TransportProblem.Route> routes = problem.routes();
        for (int route = 0; route < routes.size(); route++) {
            coefficients[route] = routes.get(route).target().equals(target) ? 1 : 0;
        }
        return new LinearConstraint(coefficients, Relationship.LEQ, supply);
    }
}
