package pewtercourse.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
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
 * Splits the load of each site that could be lost, one or two at a time, over its takers: as much as they can lend, the
 * cheapest crossing first (a transport problem, by the simplex method). Where the solver gives up, a fixed rule fills the
 * takers by distance. Equal input, equal plan. Knows no clock; whoever calls it does so off the event loop.
 */
public final class FailoverPlanner {
    // Refusing costs this many times the farthest crossing: only what nobody can take is refused.
    private static final double REFUSED = 1_000;
    private static final int PAIRS_UP_TO = 16, ITERATIONS = 20_000;
    // A plan stays while a new one would save less than this share of its costs, and while it asks of no taker more
    // than
    // this share beyond what that has to lend. Guards against a plan that moves copies about with each change of load.
    private static final double WORTH_A_CHANGE = 0.1, STRETCH = 0.05;
    private static final double NOTHING = 1e-6;

    private final int iterations;

    public FailoverPlanner() {
        this(ITERATIONS);
    }

    /** To see the fixed rule act. */
    FailoverPlanner(int iterations) {
        this.iterations = iterations;
    }

    /**
     * @param loads  by site: transfers at once that its clients ask for
     * @param lost   sites whose load is elsewhere now
     * @param unfit  sites that can't take any: impaired, or returning
     * @param before the plan in force; {@link FailoverPlan#NONE} for none
     */
    public FailoverPlan plan(
            Sites sites, Map<String, Double> loads, Set<String> lost, Set<String> unfit, FailoverPlan before) {
        SortedMap<String, SortedMap<String, FailoverPlan.Shares>> cases = new TreeMap<>();
        List<String> names = List.copyOf(sites.sites().keySet());
        for (Set<String> c : cases(names, lost)) {
            String key = FailoverPlan.key(c);
            Problem p = new Problem(sites, loads, c, unfit);
            SortedMap<String, FailoverPlan.Shares> fresh = p.solve(iterations);
            SortedMap<String, FailoverPlan.Shares> old = before.cases().get(key);
            boolean stays =
                    old != null && p.bears(old) && p.cost(old) <= p.cost(fresh) * (1 + WORTH_A_CHANGE) + NOTHING;
            cases.put(key, stays ? old : fresh);
        }
        return new FailoverPlan(cases);
    }

    private static List<Set<String>> cases(List<String> names, Set<String> lost) {
        List<Set<String>> cases = new ArrayList<>();
        if (!lost.isEmpty()) {
            cases.add(new TreeSet<>(lost));
        }
        for (int i = 0; i < names.size(); i++) {
            Set<String> one = with(lost, names.get(i));
            if (one.size() > lost.size()) {
                cases.add(one);
                for (int j = i + 1; lost.isEmpty() && names.size() <= PAIRS_UP_TO && j < names.size(); j++) {
                    cases.add(with(one, names.get(j)));
                }
            }
        }
        return cases;
    }

    private static Set<String> with(Set<String> some, String one) {
        Set<String> all = new TreeSet<>(some);
        all.add(one);
        return all;
    }

    /** One set of lost sites. */
    private static final class Problem {
        private record Way(int lost, String taker, double distance) {}

        private final List<String> lost;
        private final double[] load;
        private final List<Way> ways = new ArrayList<>();
        private final SortedMap<String, Double> room = new TreeMap<>(); // By taker: what it can lend.

        Problem(Sites sites, Map<String, Double> loads, Set<String> lost, Set<String> unfit) {
            this.lost = List.copyOf(lost);
            this.load = new double[lost.size()];
            for (int i = 0; i < load.length; i++) {
                load[i] = loads.getOrDefault(this.lost.get(i), 0.0);
                for (Site.Taker t : sites.sites().get(this.lost.get(i)).takers()) {
                    Site taker = sites.sites().get(t.site());
                    if (taker != null && !lost.contains(t.site()) && !unfit.contains(t.site())) {
                        double own = loads.getOrDefault(t.site(), 0.0), spare = taker.spare(own);
                        // What its link carries beside the fills for its own clients; guests miss more often.
                        double link = taker.link() == 0
                                ? spare
                                : Math.max(0, taker.link() - own * sites.miss() / 2) / sites.miss();
                        // What has to be filled holds its place about twice as long.
                        room.put(t.site(), Math.min(spare / (1 + sites.miss()), link));
                        ways.add(new Way(i, t.site(), t.distance()));
                    }
                }
            }
        }

        SortedMap<String, FailoverPlan.Shares> solve(int iterations) {
            double[] work = ways.isEmpty() ? new double[0] : simplex(iterations);
            return shares(work != null ? work : fixed());
        }

        // Null where the solver gives up.
        private double[] simplex(int iterations) {
            int n = ways.size();
            double farthest = ways.stream().mapToDouble(Way::distance).max().orElse(1);
            double[] costs = new double[n + load.length];
            for (int i = 0; i < n; i++) {
                costs[i] = ways.get(i).distance() * (1 + i * 1e-9); // Of equal ways the first: equal input, equal plan.
            }
            Arrays.fill(costs, n, costs.length, REFUSED * farthest);
            List<LinearConstraint> bounds = new ArrayList<>();
            for (int l = 0; l < load.length; l++) {
                double[] row = new double[costs.length];
                for (int i = 0; i < n; i++) {
                    row[i] = ways.get(i).lost() == l ? 1 : 0;
                }
                row[n + l] = 1;
                bounds.add(new LinearConstraint(row, Relationship.EQ, load[l]));
            }
            room.forEach((taker, most) -> {
                double[] row = new double[costs.length];
                for (int i = 0; i < n; i++) {
                    row[i] = ways.get(i).taker().equals(taker) ? 1 : 0;
                }
                bounds.add(new LinearConstraint(row, Relationship.LEQ, most));
            });
            try {
                double[] found = new SimplexSolver()
                        .optimize(
                                new MaxIter(iterations),
                                new LinearObjectiveFunction(costs, 0),
                                new LinearConstraintSet(bounds),
                                GoalType.MINIMIZE,
                                new NonNegativeConstraint(true))
                        .getPoint();
                return Arrays.copyOf(found, n);
            } catch (MathIllegalStateException e) {
                return null;
            }
        }

        // The nearest ways first, sites in turn by name.
        private double[] fixed() {
            double[] work = new double[ways.size()], left = load.clone();
            SortedMap<String, Double> free = new TreeMap<>(room);
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < work.length; i++) {
                order.add(i);
            }
            order.sort(Comparator.comparingDouble(i -> ways.get(i).distance()));
            for (int i : order) {
                Way w = ways.get(i);
                work[i] = Math.min(left[w.lost()], free.get(w.taker()));
                left[w.lost()] -= work[i];
                free.merge(w.taker(), -work[i], Double::sum);
            }
            return work;
        }

        private SortedMap<String, FailoverPlan.Shares> shares(double[] work) {
            SortedMap<String, Double> asked = new TreeMap<>();
            for (int i = 0; i < work.length; i++) {
                asked.merge(ways.get(i).taker(), work[i], Double::sum);
            }
            SortedMap<String, FailoverPlan.Shares> all = new TreeMap<>();
            for (int l = 0; l < load.length; l++) {
                List<FailoverPlan.Part> parts = new ArrayList<>();
                double taken = 0;
                for (int i = 0; i < work.length; i++) {
                    Way w = ways.get(i);
                    if (w.lost() == l && work[i] > NOTHING) {
                        parts.add(new FailoverPlan.Part(
                                w.taker(), work[i], room.get(w.taker()) * work[i] / asked.get(w.taker())));
                        taken += work[i];
                    }
                }
                all.put(lost.get(l), new FailoverPlan.Shares(parts, Math.max(0, load[l] - taken)));
            }
            return all;
        }

        /** What these shares would cost with the loads of now: they keep their proportions. */
        double cost(SortedMap<String, FailoverPlan.Shares> shares) {
            double cost = 0,
                    farthest = ways.stream().mapToDouble(Way::distance).max().orElse(1);
            for (int l = 0; l < load.length; l++) {
                FailoverPlan.Shares s = shares.getOrDefault(lost.get(l), FailoverPlan.Shares.NOTHING);
                double taken = 0;
                for (FailoverPlan.Part p : s.parts()) {
                    double work = work(l, s, p);
                    taken += work;
                    cost += work * distance(l, p.site());
                }
                cost += Math.max(0, load[l] - taken) * REFUSED * farthest;
            }
            return cost;
        }

        private double work(int l, FailoverPlan.Shares s, FailoverPlan.Part p) {
            double whole = s.taken() + s.refused();
            return whole <= NOTHING ? 0 : load[l] * p.work() / whole;
        }

        private double distance(int l, String taker) {
            return ways.stream()
                    .filter(w -> w.lost() == l && w.taker().equals(taker))
                    .mapToDouble(Way::distance)
                    .findFirst()
                    .orElse(0);
        }

        /** Whether no taker is asked for much more than it can lend now, and none that can't take any. */
        boolean bears(SortedMap<String, FailoverPlan.Shares> shares) {
            SortedMap<String, Double> asked = new TreeMap<>();
            for (int l = 0; l < load.length; l++) {
                FailoverPlan.Shares s = shares.getOrDefault(lost.get(l), FailoverPlan.Shares.NOTHING);
                for (FailoverPlan.Part p : s.parts()) {
                    asked.merge(p.site(), Math.max(work(l, s, p), p.most()), Double::sum);
                }
            }
            return asked.entrySet().stream()
                    .allMatch(a -> a.getValue() <= room.getOrDefault(a.getKey(), 0.0) * (1 + STRETCH) + NOTHING);
        }
    }
}
