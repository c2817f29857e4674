package pewtercourse.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;
import pewtercourse.lease.Command;
import pewtercourse.lease.LeaseNames;

/**
 * Measures over many seeds how long a duty has no holder after each kind of fault, and how often two members hold it at the same
 * time. Two baselines are compared: the holder by rank among the living members, and a lease whose validity counts from the
 * reply. All runs use a virtual clock.
 */
final class DutiesExperiment {
    /** The fault of a run. The constants are written out as words in the results. */
    enum Fault {
        KILL,
        STALL,
        CUT,
        HAND_ON
    }

    /** How the holder is chosen. The constants are written out as words in the results. */
    enum Strategy {
        AGREED,
        LEASE_FROM_ANSWER,
        RANK
    }

    /** The result of one run. {@code gapMs} is -1 if the duty had no new holder within {@link #TAKEOVER_TIMEOUT}. */
    record Run(Strategy strategy, Fault fault, long seed, double gapMs, boolean hadTwoHolders) {}

    /** The share of the wanted and available budget that was usable in one run, with fixed and with divided parts. */
    record BudgetUse(long seed, double fixed, double divided) {}

    private static final long MS = ClusterSim.MS;
    private static final long SECOND = ClusterSim.SECOND;
    private static final long TAKEOVER_TIMEOUT = 15 * SECOND;
    private static final long STALL_DURATION = 6 * SECOND;
    private static final int MEMBER_COUNT = 3;

    private DutiesExperiment() {}

    static List<Run> handOver(int seeds) {
        List<Run> runs = new ArrayList<>();
        for (Strategy strategy : Strategy.values()) {
            for (Fault fault : Fault.values()) {
                if (strategy == Strategy.RANK && fault == Fault.HAND_ON) {
                    continue; // The baseline by rank has no planned hand-over.
                }
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(seed -> strategy == Strategy.RANK
                                ? runByRank(fault, seed)
                                : runWithLeases(strategy, fault, seed))
                        .sequential()
                        .forEachOrdered(runs::add);
            }
        }
        return runs;
    }

    private static ClusterSim.Node holder(ClusterSim sim, Predicate<ClusterSim.Node> filter) {
        return sim.nodes.stream()
                .filter(n ->
                        n.isUp && filter.test(n) && n.leaseManager.validToken(LeaseNames.MAINTENANCE, n.clock()) > 0)
                .findFirst()
                .orElse(null);
    }

    private static Run runWithLeases(Strategy strategy, Fault fault, long seed) {
        ClusterSim sim = new ClusterSim(
                seed,
                MEMBER_COUNT,
                strategy == Strategy.AGREED
                        ? ClusterSim.InjectedFault.NONE
                        : ClusterSim.InjectedFault.LEASE_FROM_REPLY_TIME);
        sim.runUntil(TAKEOVER_TIMEOUT, () -> holder(sim, n -> true) != null);
        sim.runTo(sim.now + SECOND + new Random(seed).nextInt((int) SECOND));
        sim.runUntil(TAKEOVER_TIMEOUT, () -> holder(sim, n -> true) != null);
        ClusterSim.Node oldHolder = holder(sim, n -> true);
        long gapStart = sim.now;
        switch (fault) {
            case KILL -> oldHolder.crash();
            case STALL -> {
                sim.pause(oldHolder);
                sim.schedule(sim.now + STALL_DURATION, () -> sim.resume(oldHolder));
            }
            case CUT ->
                sim.nodes.forEach(x -> {
                    sim.setLinkCut(oldHolder, x, true);
                    sim.setLinkCut(x, oldHolder, true);
                });
            case HAND_ON -> {
                oldHolder.submit(oldHolder.leaseManager.sign(new Command.RequestTransfer(
                        LeaseNames.MAINTENANCE,
                        oldHolder.leaseManager.validToken(LeaseNames.MAINTENANCE, oldHolder.clock()),
                        "")));
                oldHolder.pump();
            }
        }
        long end = sim.now + TAKEOVER_TIMEOUT;
        while (sim.violation == null && sim.now < end && holder(sim, n -> n != oldHolder) == null) {
            sim.runTo(sim.now + MS / 4);
            // In a planned hand-over the gap starts when the old holder releases the lease.
            if (fault == Fault.HAND_ON
                    && oldHolder.leaseManager.validToken(LeaseNames.MAINTENANCE, oldHolder.clock()) > 0) {
                gapStart = sim.now;
            }
        }
        double gapMs = sim.now < end ? (sim.now - gapStart) / (double) MS : -1;
        sim.runTo(sim.now + STALL_DURATION + SECOND);
        return new Run(
                strategy, fault, seed, gapMs, sim.violation != null && sim.violation.startsWith("two holders of "));
    }

    private static Run runByRank(Fault fault, long seed) {
        RankSim sim = new RankSim(seed, MEMBER_COUNT);
        long faultAtMs = 2_000 + new Random(seed).nextInt(1_000);
        while (sim.nowMs < faultAtMs) {
            sim.step();
        }
        long faultMs = sim.nowMs;
        long endMs = faultMs + STALL_DURATION / MS + 1_000;
        double gapMs = -1;
        boolean hadTwoHolders = false;
        switch (fault) {
            case KILL -> sim.kill(0);
            case STALL -> sim.setPaused(0, true);
            default -> sim.isolate(0);
        }
        while (sim.nowMs < endMs) {
            sim.step();
            if (fault == Fault.STALL && sim.nowMs == faultMs + STALL_DURATION / MS) {
                sim.setPaused(0, false);
            }
            long otherHolders = IntStream.range(1, sim.memberCount())
                    .filter(sim::considersItselfHolder)
                    .count();
            gapMs = gapMs < 0 && otherHolders > 0 ? sim.nowMs - faultMs : gapMs;
            hadTwoHolders |= otherHolders + (sim.considersItselfHolder(0) ? 1 : 0) > 1;
        }
        return new Run(Strategy.RANK, fault, seed, gapMs, hadTwoHolders);
    }

    /** Simulates directors whose demand for cold budget changes every two seconds; one of them has most of the demand. */
    static List<BudgetUse> budgets(int seeds) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(DutiesExperiment::budget)
                .toList();
    }

    private static BudgetUse budget(long seed) {
        ClusterSim sim = new ClusterSim(seed, MEMBER_COUNT, ClusterSim.InjectedFault.NONE);
        Random random = new Random(seed);
        sim.runUntil(
                TAKEOVER_TIMEOUT,
                () -> sim.nodes.stream().anyMatch(n -> n.leaseManager.validToken(LeaseNames.QUOTA, n.clock()) > 0));
        double usableFixed = 0;
        double usableDivided = 0;
        double available = 0;
        for (int phase = 0; phase < 10; phase++) {
            long[] wantedThousandths = new long[MEMBER_COUNT];
            int busiest = random.nextInt(MEMBER_COUNT);
            for (int i = 0; i < MEMBER_COUNT; i++) {
                wantedThousandths[i] = i == busiest ? 1_000 + random.nextInt(2_000) : random.nextInt(700);
            }
            for (long end = sim.now + 2 * SECOND; sim.now < end; ) {
                for (ClusterSim.Node n : sim.nodes) {
                    n.leaseManager
                            .requestQuota(
                                    n.clock(), wantedThousandths[n.number] - n.leaseManager.quotaThousandths(n.clock()))
                            .ifPresent(request -> {
                                n.submit(request);
                                n.pump();
                            });
                    usableFixed += Math.min(wantedThousandths[n.number], 1_000);
                    usableDivided += Math.min(wantedThousandths[n.number], n.leaseManager.quotaThousandths(n.clock()));
                }
                available += Math.min(java.util.Arrays.stream(wantedThousandths).sum(), 1_000L * MEMBER_COUNT);
                sim.runTo(sim.now + 20 * MS);
            }
        }
        return new BudgetUse(seed, usableFixed / available, usableDivided / available);
    }

    /** Formats the summary tables; the results of the single runs are in the Arrow files. */
    static String tables(List<Run> runs, List<BudgetUse> uses) {
        StringBuilder table =
                new StringBuilder("| way | fault | runs | median ms | 99th | greatest | not taken up | two at once |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Strategy strategy : Strategy.values()) {
            for (Fault fault : Fault.values()) {
                List<Run> selected = runs.stream()
                        .filter(r -> r.strategy() == strategy && r.fault() == fault)
                        .toList();
                double[] gaps = selected.stream()
                        .mapToDouble(Run::gapMs)
                        .filter(g -> g >= 0)
                        .toArray();
                if (selected.isEmpty() || gaps.length == 0) {
                    continue;
                }
                Percentile percentile = new Percentile();
                table.append(String.format(
                        "| %s | %s | %d | %.1f | %.1f | %.1f | %d | %d |%n",
                        lowerCaseWords(strategy),
                        lowerCaseWords(fault),
                        selected.size(),
                        percentile.evaluate(gaps, 50),
                        percentile.evaluate(gaps, 99),
                        java.util.Arrays.stream(gaps).max().orElse(0),
                        selected.size() - gaps.length,
                        selected.stream().filter(Run::hadTwoHolders).count()));
            }
        }
        table.append(String.format(
                "%nShare of the cold budget that was wanted and there, used: %.3f by fixed parts, %.3f divided"
                        + " (means of %d runs).%n",
                uses.stream().mapToDouble(BudgetUse::fixed).average().orElse(0),
                uses.stream().mapToDouble(BudgetUse::divided).average().orElse(0),
                uses.size()));
        return table.toString();
    }

    static String lowerCaseWords(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }

    static void run(Path into, int seeds) throws IOException {
        Files.createDirectories(into);
        List<Run> runs = handOver(seeds);
        List<BudgetUse> uses = budgets(Math.min(seeds, 50));
        ColumnFile.write(
                into.resolve("duties-hand-over.arrow"),
                List.of(
                        ColumnFile.text(
                                "way",
                                runs.stream()
                                        .map(r -> lowerCaseWords(r.strategy()))
                                        .toList()),
                        ColumnFile.text(
                                "fault",
                                runs.stream()
                                        .map(r -> lowerCaseWords(r.fault()))
                                        .toList()),
                        ColumnFile.number(
                                "seed",
                                runs.stream().map(r -> (double) r.seed()).toList()),
                        ColumnFile.number(
                                "gap_ms", runs.stream().map(Run::gapMs).toList()),
                        ColumnFile.number(
                                "two_at_once",
                                runs.stream()
                                        .map(r -> r.hadTwoHolders() ? 1.0 : 0.0)
                                        .toList())));
        ColumnFile.write(
                into.resolve("duties-budget.arrow"),
                List.of(
                        ColumnFile.number(
                                "seed",
                                uses.stream().map(u -> (double) u.seed()).toList()),
                        ColumnFile.number(
                                "fixed", uses.stream().map(BudgetUse::fixed).toList()),
                        ColumnFile.number(
                                "divided", uses.stream().map(BudgetUse::divided).toList())));
        Charts.handOver(into.resolve("duties-hand-over.png"), runs);
        String tables = tables(runs, uses);
        Files.writeString(into.resolve("duties-hand-over.md"), tables);
        System.out.print(tables);
    }
}
