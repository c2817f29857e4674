package pewtercourse.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import pewtercourse.failover.AttemptCounts;
import pewtercourse.failover.EndpointCount;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.FailoverPlanner;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.FailoverTiming;
import pewtercourse.failover.OverflowRequest;
import pewtercourse.failover.OverflowRouter;
import pewtercourse.failover.Site;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;
import pewtercourse.failover.Sites;
import pewtercourse.hash.StableHash;

/** The loss of a site and its return: worth served in time over seeds, several ways; false alarms; costs. */
final class SitesExperiment {
    /** One play. Shares of worth: of the whole incident, its worst ten seconds, and the clients of all other sites. */
    record Run(
            SitesSim.Trouble trouble,
            SitesSim.Way way,
            long seed,
            double served,
            double worst,
            double others,
            double declaredMs,
            double returnMs,
            int falls,
            int twice,
            double[] bySecond) {}

    private static final int SECONDS = 80;

    private SitesExperiment() {}

    private static Run play(SitesSim.Trouble trouble, SitesSim.Way way, long seed) {
        SitesSim sim = new SitesSim(seed, way, trouble, SitesSim.Planted.NONE).play();
        long from = SitesSim.lostAt(), to = SitesSim.incidentEnds();
        double[] seconds = new double[SECONDS];
        for (int i = 0; i < SECONDS; i++) {
            seconds[i] = sim.served(i * SitesSim.SECOND, (i + 1) * SitesSim.SECOND, -1);
        }
        double others = 0;
        for (int s = 1; s < 5; s++) {
            others += sim.served(from, to, s) / 4;
        }
        return new Run(
                trouble,
                way,
                seed,
                sim.served(from, to, -1),
                sim.worst(from, to),
                others,
                sim.declaredAt < 0 ? Double.NaN : (sim.declaredAt - from) / 1e3,
                sim.wholeAt < 0 ? Double.NaN : (sim.wholeAt - SitesSim.backAt()) / 1e3,
                sim.falls(),
                sim.effectsTwice(),
                seconds);
    }

    private static String mean(List<Double> values) {
        SummaryStatistics s = new SummaryStatistics();
        values.stream().filter(v -> !v.isNaN()).forEach(s::addValue);
        if (s.getN() < 2) {
            return s.getN() == 0 ? "-" : String.format("%.3f", s.getMean());
        }
        double half = new TDistribution(s.getN() - 1).inverseCumulativeProbability(0.975)
                * s.getStandardDeviation()
                / Math.sqrt(s.getN());
        return String.format("%.3f ± %.3f", s.getMean(), half);
    }

    private static String tables(List<Run> runs) {
        StringBuilder t = new StringBuilder(
                "| trouble | way | worth served in time | worst 10 s | clients of other sites | of the bound"
                        + " | worst, of the bound | cold caches that fell | orders run twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (SitesSim.Trouble trouble : SitesSim.Trouble.values()) {
            Map<Long, Run> bound = new HashMap<>();
            runs.stream()
                    .filter(r -> r.trouble() == trouble && r.way() == SitesSim.Way.SEEING)
                    .forEach(r -> bound.put(r.seed(), r));
            for (SitesSim.Way way : SitesSim.Way.values()) {
                List<Run> of = runs.stream()
                        .filter(r -> r.trouble() == trouble && r.way() == way)
                        .toList();
                if (of.isEmpty()) {
                    continue;
                }
                t.append(String.format(
                        "| %s | %s | %s | %s | %s | %s | %s | %d | %d |%n",
                        DutiesExperiment.word(trouble),
                        DutiesExperiment.word(way),
                        mean(of.stream().map(Run::served).toList()),
                        mean(of.stream().map(Run::worst).toList()),
                        mean(of.stream().map(Run::others).toList()),
                        mean(of.stream()
                                .map(r -> r.served() / bound.get(r.seed()).served())
                                .toList()),
                        mean(of.stream()
                                .map(r -> r.worst() / bound.get(r.seed()).worst())
                                .toList()),
                        of.stream().mapToInt(Run::falls).sum(),
                        of.stream().mapToInt(Run::twice).sum()));
            }
        }
        t.append(String.format(
                "%n| trouble | time to declare, ms (median; greatest) | whole again after the caches' return, ms (median; greatest) |%n"
                        + "| --- | --- | --- |%n"));
        for (SitesSim.Trouble trouble : SitesSim.Trouble.values()) {
            DescriptiveStatistics declared = new DescriptiveStatistics(), whole = new DescriptiveStatistics();
            runs.stream()
                    .filter(r -> r.trouble() == trouble && r.way() == SitesSim.Way.PLANNED)
                    .forEach(r -> {
                        if (!Double.isNaN(r.declaredMs())) {
                            declared.addValue(r.declaredMs());
                        }
                        if (!Double.isNaN(r.returnMs())) {
                            whole.addValue(r.returnMs());
                        }
                    });
            t.append(
                    declared.getN() == 0
                            ? String.format("| %s | never declared | - |%n", DutiesExperiment.word(trouble))
                            : String.format(
                                    "| %s | %.0f; %.0f | %.0f; %.0f |%n",
                                    DutiesExperiment.word(trouble),
                                    declared.getPercentile(50),
                                    declared.getMax(),
                                    whole.getPercentile(50),
                                    whole.getMax()));
        }
        return t.toString();
    }

    // ---- False alarms: what members see of sites that are well, with all that is usual at a bad hour ----

    /** Declarations of a loss in so many hours in which no site was lost. */
    static long falseAlarms(long seed, int hours, boolean noisy) {
        Random random = new Random(seed);
        Sites sites = sites(5, random);
        FailoverController failoverController = new FailoverController(sites);
        FailoverState failover = new FailoverState();
        List<String> names = List.copyOf(sites.byName().keySet());
        long alarms = 0, entry = 0;
        double[] bad = new double[names.size()];
        long[] badUntil = new long[names.size()],
                emptyUntil = new long[names.size()],
                silentUntil = new long[names.size()];
        for (long s = 0; s < hours * 3_600L; s++) {
            long now = s * 1_000_000;
            for (int m = 0; m < names.size(); m++) {
                if (noisy && random.nextInt(600) == 0) {
                    // Every ten minutes: many failures for a while, or nearly all for a second.
                    boolean brief = random.nextBoolean();
                    bad[m] = brief ? 0.95 : 0.2 + 0.4 * random.nextDouble();
                    badUntil[m] = s + 1 + (brief ? 0 : random.nextInt(20));
                }
                emptyUntil[m] = noisy && random.nextInt(3_600) == 0 ? s + random.nextInt(10) : emptyUntil[m];
                silentUntil[m] = noisy && random.nextInt(1_800) == 0 ? s + random.nextInt(4) : silentUntil[m];
                if (s < silentUntil[m]) {
                    continue;
                }
                Map<String, SiteObservation> told = new TreeMap<>();
                for (int x = 0; x < names.size(); x++) {
                    int ends =
                            x == m ? 40 + random.nextInt(80) : noisy && random.nextInt(50) == 0 ? random.nextInt(4) : 0;
                    double share = s < badUntil[x] ? bad[x] : noisy ? 0.03 : 0.005;
                    int failed = 0, late = 0;
                    for (int i = 0; i < ends; i++) {
                        failed += random.nextDouble() < share ? 1 : 0;
                        late += random.nextDouble() < (noisy ? 0.3 : 0.03) ? 1 : 0;
                    }
                    int good = Math.max(0, ends - failed - late);
                    told.put(
                            names.get(x),
                            new SiteObservation(
                                    new EndpointCount(4, s < emptyUntil[m] ? 0 : 4),
                                    new EndpointCount(2, 2),
                                    new AttemptCounts(
                                            good,
                                            ends - failed - good,
                                            failed,
                                            x == m && noisy ? random.nextInt(6) : 0),
                                    x == m ? 10 : 0));
                }
                failoverController.detector().observe(now, "d" + m, told);
            }
            for (SiteStatusChange d : failoverController.proposeChanges(now, failover, Set.of())) {
                alarms += d.phase() == SiteStatus.Phase.LOST ? 1 : 0;
                failover.changeStatus(++entry, d);
            }
        }
        return alarms;
    }

    private static Sites sites(int count, Random random) {
        TreeMap<String, Site> all = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            List<Site.FailoverTarget> takers = new ArrayList<>();
            for (int d = 1; d <= Math.min(6, count - 1); d++) {
                takers.add(new Site.FailoverTarget(String.format("s%03d", (i + d) % count), 1 + random.nextInt(5)));
            }
            all.put(
                    String.format("s%03d", i),
                    new Site(String.format("s%03d", i), "hub", Set.of("d" + i), 20, 0.8, 0.5, 0, takers));
        }
        return new Sites(
                all,
                0.5,
                new FailoverTiming(
                        1_500_000, 2_000_000, 120_000_000, 1_500_000, List.of(0.15, 0.3, 0.5, 0.75, 1.0), 3_000_000));
    }

    /** Time to plan, by sites. */
    static String planning() {
        StringBuilder t =
                new StringBuilder("| sites | planned for | one plan, ms (median of nine) |\n| --- | --- | --- |\n");
        for (int n : new int[] {3, 5, 10, 16, 50, 100, 200}) {
            Random random = new Random(n);
            Sites sites = sites(n, random);
            Map<String, Double> loads = new TreeMap<>();
            sites.byName().keySet().forEach(s -> loads.put(s, 8 + 8 * random.nextDouble()));
            DescriptiveStatistics ms = new DescriptiveStatistics();
            int cases = 0;
            for (int i = 0; i < 14; i++) {
                long from = System.nanoTime();
                cases = new FailoverPlanner()
                        .plan(sites, FailoverPlanRequest.first(loads))
                        .cases()
                        .size();
                if (i >= 5) {
                    ms.addValue((System.nanoTime() - from) / 1e6);
                }
            }
            t.append(String.format("| %d | %d sets of lost sites | %.2f |%n", n, cases, ms.getPercentile(50)));
        }
        return t.toString();
    }

    /** What a request costs at its director, in nanoseconds: while its site is whole, and while it is lost. */
    static String perRequest() {
        Random random = new Random(1);
        Sites sites = sites(5, random);
        Map<String, Double> loads = new TreeMap<>();
        sites.byName().keySet().forEach(s -> loads.put(s, 12.0));
        FailoverState failover = new FailoverState();
        failover.setPlan(new FailoverPlanner().plan(sites, FailoverPlanRequest.first(loads)));
        OverflowRouter overflowRouter = new OverflowRouter(sites, "s000", 500_000, 1);
        overflowRouter.follow(0, failover, 1);
        double whole = nanos(overflowRouter);
        failover.changeStatus(1, new SiteStatusChange("s000", SiteStatus.Phase.LOST, SiteHealth.CACHES, 0, 0, 0));
        overflowRouter.follow(0, failover, 1);
        return String.format(
                "A request's choice of a site takes %.0f ns while its site is whole and %.0f ns while it is lost.%n",
                whole, nanos(overflowRouter));
    }

    private static double nanos(OverflowRouter overflowRouter) {
        double best = Double.MAX_VALUE;
        for (int round = 0; round < 12; round++) {
            long from = System.nanoTime();
            for (int i = 0; i < 200_000; i++) {
                long now = round * 2_000_000_000L + i * 10_000L;
                overflowRouter.choose(
                        now,
                        new OverflowRequest(
                                StableHash.of("o" + i % 3_000),
                                1 + i % 2,
                                50_000 + i % 300_000,
                                600_000,
                                now + 5_000_000,
                                50_000,
                                i % 33 == 0,
                                false));
            }
            best = Math.min(best, (System.nanoTime() - from) / 200_000.0);
        }
        return best;
    }

    static void run(Path into, int seeds) throws IOException {
        Files.createDirectories(into);
        List<Run> runs = new ArrayList<>();
        for (SitesSim.Trouble trouble : SitesSim.Trouble.values()) {
            for (SitesSim.Way way : SitesSim.Way.values()) {
                runs.addAll(IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(seed -> play(trouble, way, seed))
                        .toList());
            }
        }
        ColumnFile.write(
                into.resolve("sites.arrow"),
                List.of(
                        ColumnFile.text(
                                "trouble",
                                runs.stream()
                                        .map(r -> DutiesExperiment.word(r.trouble()))
                                        .toList()),
                        ColumnFile.text(
                                "way",
                                runs.stream()
                                        .map(r -> DutiesExperiment.word(r.way()))
                                        .toList()),
                        ColumnFile.number(
                                "seed",
                                runs.stream().map(r -> (double) r.seed()).toList()),
                        ColumnFile.number(
                                "served", runs.stream().map(Run::served).toList()),
                        ColumnFile.number("worst", runs.stream().map(Run::worst).toList()),
                        ColumnFile.number(
                                "others", runs.stream().map(Run::others).toList()),
                        ColumnFile.number(
                                "declared_ms",
                                runs.stream().map(Run::declaredMs).toList()),
                        ColumnFile.number(
                                "return_ms", runs.stream().map(Run::returnMs).toList()),
                        ColumnFile.number(
                                "falls",
                                runs.stream().map(r -> (double) r.falls()).toList())));
        Charts.sites(into.resolve("sites.png"), runs);
        int hours = 500;
        long quiet = IntStream.range(0, 8)
                .parallel()
                .mapToLong(i -> falseAlarms(i, hours / 8 + 1, false))
                .sum();
        long noisy = IntStream.range(0, 8)
                .parallel()
                .mapToLong(i -> falseAlarms(100 + i, hours / 8 + 1, true))
                .sum();
        String all = tables(runs)
                + String.format(
                        "%nLosses declared where there was none: %d in %d quiet hours, %d in %d noisy ones, five"
                                + " sites each.%n%n",
                        quiet, 8 * (hours / 8 + 1), noisy, 8 * (hours / 8 + 1))
                + planning() + "\n" + perRequest();
        Files.writeString(into.resolve("sites.md"), all);
        System.out.print(all);
    }
}
