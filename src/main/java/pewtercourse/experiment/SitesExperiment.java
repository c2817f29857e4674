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

/**
 * Measures the worth served in time around the loss and return of a site, for each strategy and over many seeds; also false
 * alarms, planning time and the cost of a routing decision.
 */
final class SitesExperiment {
    /**
     * The result of one simulation. The shares of worth served in time are those of the whole incident, of its worst ten seconds
     * and of the clients of all other sites.
     */
    record Run(
            SitesSim.Incident incident,
            SitesSim.Strategy strategy,
            long seed,
            double servedShare,
            double worstShare,
            double otherSitesShare,
            double declaredMs,
            double returnMs,
            int coldOverloadCount,
            int duplicateEffectCount,
            double[] bySecond) {}

    private static final int SECOND_COUNT = 80;

    private SitesExperiment() {}

    private static Run simulate(SitesSim.Incident incident, SitesSim.Strategy strategy, long seed) {
        SitesSim sim = new SitesSim(seed, strategy, incident, SitesSim.InjectedFault.NONE).run();
        long from = SitesSim.lostAt();
        long to = SitesSim.incidentEnds();
        double[] shareBySecond = new double[SECOND_COUNT];
        for (int i = 0; i < SECOND_COUNT; i++) {
            shareBySecond[i] = sim.servedWorthShare(i * SitesSim.SECOND, (i + 1) * SitesSim.SECOND, -1);
        }
        double otherSitesShare = 0;
        for (int s = 1; s < 5; s++) {
            otherSitesShare += sim.servedWorthShare(from, to, s) / 4;
        }
        return new Run(
                incident,
                strategy,
                seed,
                sim.servedWorthShare(from, to, -1),
                sim.worstTenSecondShare(from, to),
                otherSitesShare,
                sim.lossDeclaredAt < 0 ? Double.NaN : (sim.lossDeclaredAt - from) / 1e3,
                sim.restoredAt < 0 ? Double.NaN : (sim.restoredAt - SitesSim.recoveredAt()) / 1e3,
                sim.coldOverloadCount(),
                sim.duplicateEffectCount(),
                shareBySecond);
    }

    private static String mean(List<Double> values) {
        SummaryStatistics statistics = new SummaryStatistics();
        values.stream().filter(v -> !v.isNaN()).forEach(statistics::addValue);
        if (statistics.getN() < 2) {
            return statistics.getN() == 0 ? "-" : String.format("%.3f", statistics.getMean());
        }
        double halfInterval = new TDistribution(statistics.getN() - 1).inverseCumulativeProbability(0.975)
                * statistics.getStandardDeviation()
                / Math.sqrt(statistics.getN());
        return String.format("%.3f ± %.3f", statistics.getMean(), halfInterval);
    }

    private static String tables(List<Run> runs) {
        StringBuilder table = new StringBuilder(
                "| trouble | way | worth served in time | worst 10 s | clients of other sites | of the bound"
                        + " | worst, of the bound | cold caches that fell | orders run twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (SitesSim.Incident incident : SitesSim.Incident.values()) {
            Map<Long, Run> upperBoundBySeed = new HashMap<>();
            runs.stream()
                    .filter(r -> r.incident() == incident && r.strategy() == SitesSim.Strategy.SEEING)
                    .forEach(r -> upperBoundBySeed.put(r.seed(), r));
            for (SitesSim.Strategy strategy : SitesSim.Strategy.values()) {
                List<Run> selected = runs.stream()
                        .filter(r -> r.incident() == incident && r.strategy() == strategy)
                        .toList();
                if (selected.isEmpty()) {
                    continue;
                }
                table.append(String.format(
                        "| %s | %s | %s | %s | %s | %s | %s | %d | %d |%n",
                        DutiesExperiment.lowerCaseWords(incident),
                        DutiesExperiment.lowerCaseWords(strategy),
                        mean(selected.stream().map(Run::servedShare).toList()),
                        mean(selected.stream().map(Run::worstShare).toList()),
                        mean(selected.stream().map(Run::otherSitesShare).toList()),
                        mean(selected.stream()
                                .map(r -> r.servedShare()
                                        / upperBoundBySeed.get(r.seed()).servedShare())
                                .toList()),
                        mean(selected.stream()
                                .map(r -> r.worstShare()
                                        / upperBoundBySeed.get(r.seed()).worstShare())
                                .toList()),
                        selected.stream().mapToInt(Run::coldOverloadCount).sum(),
                        selected.stream().mapToInt(Run::duplicateEffectCount).sum()));
            }
        }
        table.append(String.format(
                "%n| trouble | time to declare, ms (median; greatest) | whole again after the caches' return, ms (median; greatest) |%n"
                        + "| --- | --- | --- |%n"));
        for (SitesSim.Incident incident : SitesSim.Incident.values()) {
            DescriptiveStatistics declaredMs = new DescriptiveStatistics();
            DescriptiveStatistics returnMs = new DescriptiveStatistics();
            runs.stream()
                    .filter(r -> r.incident() == incident && r.strategy() == SitesSim.Strategy.PLANNED)
                    .forEach(r -> {
                        if (!Double.isNaN(r.declaredMs())) {
                            declaredMs.addValue(r.declaredMs());
                        }
                        if (!Double.isNaN(r.returnMs())) {
                            returnMs.addValue(r.returnMs());
                        }
                    });
            table.append(
                    declaredMs.getN() == 0
                            ? String.format("| %s | never declared | - |%n", DutiesExperiment.lowerCaseWords(incident))
                            : String.format(
                                    "| %s | %.0f; %.0f | %.0f; %.0f |%n",
                                    DutiesExperiment.lowerCaseWords(incident),
                                    declaredMs.getPercentile(50),
                                    declaredMs.getMax(),
                                    returnMs.getPercentile(50),
                                    returnMs.getMax()));
        }
        return table.toString();
    }

    // ---- False alarms: observations of healthy sites, with the usual disturbances of a bad hour ----

    /** Counts the losses that are declared during some hours without a loss of a site. */
    static long falseAlarms(long seed, int hours, boolean noisy) {
        Random random = new Random(seed);
        Sites sites = sites(5, random);
        FailoverController failoverController = new FailoverController(sites);
        FailoverState failover = new FailoverState();
        List<String> names = List.copyOf(sites.byName().keySet());
        long alarms = 0;
        long lastLogIndex = 0;
        double[] failureShare = new double[names.size()];
        long[] failingUntil = new long[names.size()];
        long[] emptyUntil = new long[names.size()]; // Until then the endpoint list of the member has no ready caches.
        long[] silentUntil = new long[names.size()]; // Until then the member reports nothing.
        for (long s = 0; s < hours * 3_600L; s++) {
            long now = s * 1_000_000;
            for (int m = 0; m < names.size(); m++) {
                if (noisy && random.nextInt(600) == 0) {
                    // Every ten minutes on average: many failures for up to 20 s, or almost only failures for a second.
                    boolean brief = random.nextBoolean();
                    failureShare[m] = brief ? 0.95 : 0.2 + 0.4 * random.nextDouble();
                    failingUntil[m] = s + 1 + (brief ? 0 : random.nextInt(20));
                }
                emptyUntil[m] = noisy && random.nextInt(3_600) == 0 ? s + random.nextInt(10) : emptyUntil[m];
                silentUntil[m] = noisy && random.nextInt(1_800) == 0 ? s + random.nextInt(4) : silentUntil[m];
                if (s < silentUntil[m]) {
                    continue;
                }
                Map<String, SiteObservation> observations = new TreeMap<>();
                for (int x = 0; x < names.size(); x++) {
                    int attemptCount =
                            x == m ? 40 + random.nextInt(80) : noisy && random.nextInt(50) == 0 ? random.nextInt(4) : 0;
                    double failureProbability = s < failingUntil[x] ? failureShare[x] : noisy ? 0.03 : 0.005;
                    int failed = 0;
                    int late = 0;
                    for (int i = 0; i < attemptCount; i++) {
                        failed += random.nextDouble() < failureProbability ? 1 : 0;
                        late += random.nextDouble() < (noisy ? 0.3 : 0.03) ? 1 : 0;
                    }
                    int good = Math.max(0, attemptCount - failed - late);
                    observations.put(
                            names.get(x),
                            new SiteObservation(
                                    new EndpointCount(4, s < emptyUntil[m] ? 0 : 4),
                                    new EndpointCount(2, 2),
                                    new AttemptCounts(
                                            good,
                                            attemptCount - failed - good,
                                            failed,
                                            x == m && noisy ? random.nextInt(6) : 0),
                                    x == m ? 10 : 0));
                }
                failoverController.detector().observe(now, "d" + m, observations);
            }
            for (SiteStatusChange d : failoverController.proposeChanges(now, failover, Set.of())) {
                alarms += d.phase() == SiteStatus.Phase.LOST ? 1 : 0;
                failover.changeStatus(++lastLogIndex, d);
            }
        }
        return alarms;
    }

    private static Sites sites(int count, Random random) {
        TreeMap<String, Site> sitesByName = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            List<Site.FailoverTarget> failoverTargets = new ArrayList<>();
            for (int d = 1; d <= Math.min(6, count - 1); d++) {
                failoverTargets.add(
                        new Site.FailoverTarget(String.format("s%03d", (i + d) % count), 1 + random.nextInt(5)));
            }
            sitesByName.put(
                    String.format("s%03d", i),
                    new Site(String.format("s%03d", i), "hub", Set.of("d" + i), 20, 0.8, 0.5, 0, failoverTargets));
        }
        return new Sites(
                sitesByName,
                0.5,
                new FailoverTiming(
                        1_500_000, 2_000_000, 120_000_000, 1_500_000, List.of(0.15, 0.3, 0.5, 0.75, 1.0), 3_000_000));
    }

    /** Measures the time of one plan for several numbers of sites. */
    static String planningTimes() {
        StringBuilder table =
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
            table.append(String.format("| %d | %d sets of lost sites | %.2f |%n", n, cases, ms.getPercentile(50)));
        }
        return table.toString();
    }

    /** Measures how long a director takes to choose a site for a request, while its own site is whole and while it is lost. */
    static String routingCosts() {
        Random random = new Random(1);
        Sites sites = sites(5, random);
        Map<String, Double> loads = new TreeMap<>();
        sites.byName().keySet().forEach(s -> loads.put(s, 12.0));
        FailoverState failover = new FailoverState();
        failover.setPlan(new FailoverPlanner().plan(sites, FailoverPlanRequest.first(loads)));
        OverflowRouter overflowRouter = new OverflowRouter(sites, "s000", 500_000, 1);
        overflowRouter.follow(0, failover, 1);
        double wholeNanos = nanosPerChoice(overflowRouter);
        failover.changeStatus(1, new SiteStatusChange("s000", SiteStatus.Phase.LOST, SiteHealth.CACHES, 0, 0, 0));
        overflowRouter.follow(0, failover, 1);
        return String.format(
                "A request's choice of a site takes %.0f ns while its site is whole and %.0f ns while it is lost.%n",
                wholeNanos, nanosPerChoice(overflowRouter));
    }

    private static double nanosPerChoice(OverflowRouter overflowRouter) {
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
        for (SitesSim.Incident incident : SitesSim.Incident.values()) {
            for (SitesSim.Strategy strategy : SitesSim.Strategy.values()) {
                runs.addAll(IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(seed -> simulate(incident, strategy, seed))
                        .toList());
            }
        }
        ColumnFile.write(
                into.resolve("sites.arrow"),
                List.of(
                        ColumnFile.text(
                                "trouble",
                                runs.stream()
                                        .map(r -> DutiesExperiment.lowerCaseWords(r.incident()))
                                        .toList()),
                        ColumnFile.text(
                                "way",
                                runs.stream()
                                        .map(r -> DutiesExperiment.lowerCaseWords(r.strategy()))
                                        .toList()),
                        ColumnFile.number(
                                "seed",
                                runs.stream().map(r -> (double) r.seed()).toList()),
                        ColumnFile.number(
                                "served", runs.stream().map(Run::servedShare).toList()),
                        ColumnFile.number(
                                "worst", runs.stream().map(Run::worstShare).toList()),
                        ColumnFile.number(
                                "others",
                                runs.stream().map(Run::otherSitesShare).toList()),
                        ColumnFile.number(
                                "declared_ms",
                                runs.stream().map(Run::declaredMs).toList()),
                        ColumnFile.number(
                                "return_ms", runs.stream().map(Run::returnMs).toList()),
                        ColumnFile.number(
                                "falls",
                                runs.stream()
                                        .map(r -> (double) r.coldOverloadCount())
                                        .toList())));
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
        String report = tables(runs)
                + String.format(
                        "%nLosses declared where there was none: %d in %d quiet hours, %d in %d noisy ones, five"
                                + " sites each.%n%n",
                        quiet, 8 * (hours / 8 + 1), noisy, 8 * (hours / 8 + 1))
                + planningTimes() + "\n" + routingCosts();
        Files.writeString(into.resolve("sites.md"), report);
        System.out.print(report);
    }
}
