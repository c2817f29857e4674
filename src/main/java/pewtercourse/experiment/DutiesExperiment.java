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
 * How long a duty is without a holder after each kind of fault, and how often two hold it at once, over seeds: beside two
 * baselines, rank among those alive, and a lease that counts from its answer. On the virtual clock; times in milliseconds.
 */
final class DutiesExperiment {
    enum Fault {
        KILL,
        STALL,
        CUT,
        HAND_ON
    }

    enum Way {
        AGREED,
        LEASE_FROM_ANSWER,
        RANK
    }

    /** One run. {@code gapMs} -1: nobody held it again within the patience. */
    record Run(Way way, Fault fault, long seed, double gapMs, boolean twice) {}

    /** One run of divided budgets: the share of what was wanted, and there, that could be used. */
    record Use(long seed, double fixed, double divided) {}

    private static final long MS = ClusterSim.MS,
            SECOND = ClusterSim.SECOND,
            PATIENCE = 15 * SECOND,
            STALL = 6 * SECOND;
    private static final int MEMBERS = 3;

    private DutiesExperiment() {}

    static List<Run> handOver(int seeds) {
        List<Run> runs = new ArrayList<>();
        for (Way way : Way.values()) {
            for (Fault fault : Fault.values()) {
                if (way == Way.RANK && fault == Fault.HAND_ON) {
                    continue; // It has none.
                }
                IntStream.range(0, seeds)
                        .parallel()
                        .mapToObj(seed -> way == Way.RANK ? rank(fault, seed) : agreed(way, fault, seed))
                        .sequential()
                        .forEachOrdered(runs::add);
            }
        }
        return runs;
    }

    private static ClusterSim.Node holder(ClusterSim sim, Predicate<ClusterSim.Node> of) {
        return sim.nodes.stream()
                .filter(n -> n.up && of.test(n) && n.duties.validToken(LeaseNames.MAINTENANCE, n.clock()) > 0)
                .findFirst()
                .orElse(null);
    }

    private static Run agreed(Way way, Fault fault, long seed) {
        ClusterSim sim = new ClusterSim(
                seed, MEMBERS, way == Way.AGREED ? ClusterSim.Planted.NONE : ClusterSim.Planted.LEASE_FROM_ANSWER);
        sim.until(PATIENCE, () -> holder(sim, n -> true) != null);
        sim.play(sim.now + SECOND + new Random(seed).nextInt((int) SECOND));
        sim.until(PATIENCE, () -> holder(sim, n -> true) != null);
        ClusterSim.Node old = holder(sim, n -> true);
        long from = sim.now;
        switch (fault) {
            case KILL -> old.crash();
            case STALL -> {
                sim.stop(old);
                sim.at(sim.now + STALL, () -> sim.goOn(old));
            }
            case CUT ->
                sim.nodes.forEach(x -> {
                    sim.cut(old, x, true);
                    sim.cut(x, old, true);
                });
            case HAND_ON -> {
                old.offer(old.duties.sign(new Command.RequestTransfer(
                        LeaseNames.MAINTENANCE, old.duties.validToken(LeaseNames.MAINTENANCE, old.clock()), "")));
                old.pump();
            }
        }
        long end = sim.now + PATIENCE;
        while (sim.trouble == null && sim.now < end && holder(sim, n -> n != old) == null) {
            sim.play(sim.now + MS / 4);
            // Planned: nothing is missing before the old one lets go.
            if (fault == Fault.HAND_ON && old.duties.validToken(LeaseNames.MAINTENANCE, old.clock()) > 0) {
                from = sim.now;
            }
        }
        double gap = sim.now < end ? (sim.now - from) / (double) MS : -1;
        sim.play(sim.now + STALL + SECOND);
        return new Run(way, fault, seed, gap, sim.trouble != null && sim.trouble.startsWith("two hold"));
    }

    private static Run rank(Fault fault, long seed) {
        RankSim sim = new RankSim(seed, MEMBERS);
        long phase = 2_000 + new Random(seed).nextInt(1_000);
        while (sim.now < phase) {
            sim.step();
        }
        long from = sim.now, until = from + STALL / MS + 1_000;
        double gap = -1;
        boolean twice = false;
        switch (fault) {
            case KILL -> sim.kill(0);
            case STALL -> sim.stand(0, true);
            default -> sim.cutOff(0);
        }
        while (sim.now < until) {
            sim.step();
            if (fault == Fault.STALL && sim.now == from + STALL / MS) {
                sim.stand(0, false);
            }
            long others = IntStream.range(1, sim.members()).filter(sim::holds).count();
            gap = gap < 0 && others > 0 ? sim.now - from : gap;
            twice |= others + (sim.holds(0) ? 1 : 0) > 1;
        }
        return new Run(Way.RANK, fault, seed, gap, twice);
    }

    /** Directors whose need of cold budget changes every two seconds, most of it at one of them. */
    static List<Use> budgets(int seeds) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToObj(DutiesExperiment::budget)
                .toList();
    }

    private static Use budget(long seed) {
        ClusterSim sim = new ClusterSim(seed, MEMBERS, ClusterSim.Planted.NONE);
        Random random = new Random(seed);
        sim.until(
                PATIENCE, () -> sim.nodes.stream().anyMatch(n -> n.duties.validToken(LeaseNames.QUOTA, n.clock()) > 0));
        double fixed = 0, divided = 0, there = 0;
        for (int phase = 0; phase < 10; phase++) {
            long[] wants = new long[MEMBERS];
            int busy = random.nextInt(MEMBERS);
            for (int i = 0; i < MEMBERS; i++) {
                wants[i] = i == busy ? 1_000 + random.nextInt(2_000) : random.nextInt(700);
            }
            for (long end = sim.now + 2 * SECOND; sim.now < end; ) {
                for (ClusterSim.Node n : sim.nodes) {
                    n.duties
                            .requestQuota(n.clock(), wants[n.number] - n.duties.quotaThousandths(n.clock()))
                            .ifPresent(request -> {
                                n.offer(request);
                                n.pump();
                            });
                    fixed += Math.min(wants[n.number], 1_000);
                    divided += Math.min(wants[n.number], n.duties.quotaThousandths(n.clock()));
                }
                there += Math.min(java.util.Arrays.stream(wants).sum(), 1_000L * MEMBERS);
                sim.play(sim.now + 20 * MS);
            }
        }
        return new Use(seed, fixed / there, divided / there);
    }

    /** The tables as text, for a page; what each run gave is in the files beside it. */
    static String tables(List<Run> runs, List<Use> uses) {
        StringBuilder t =
                new StringBuilder("| way | fault | runs | median ms | 99th | greatest | not taken up | two at once |\n"
                        + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Way way : Way.values()) {
            for (Fault fault : Fault.values()) {
                List<Run> of = runs.stream()
                        .filter(r -> r.way() == way && r.fault() == fault)
                        .toList();
                double[] gaps =
                        of.stream().mapToDouble(Run::gapMs).filter(g -> g >= 0).toArray();
                if (of.isEmpty() || gaps.length == 0) {
                    continue;
                }
                Percentile p = new Percentile();
                t.append(String.format(
                        "| %s | %s | %d | %.1f | %.1f | %.1f | %d | %d |%n",
                        word(way),
                        word(fault),
                        of.size(),
                        p.evaluate(gaps, 50),
                        p.evaluate(gaps, 99),
                        java.util.Arrays.stream(gaps).max().orElse(0),
                        of.size() - gaps.length,
                        of.stream().filter(Run::twice).count()));
            }
        }
        t.append(String.format(
                "%nShare of the cold budget that was wanted and there, used: %.3f by fixed parts, %.3f divided"
                        + " (means of %d runs).%n",
                uses.stream().mapToDouble(Use::fixed).average().orElse(0),
                uses.stream().mapToDouble(Use::divided).average().orElse(0),
                uses.size()));
        return t.toString();
    }

    static String word(Enum<?> e) {
        return e.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }

    static void run(Path into, int seeds) throws IOException {
        Files.createDirectories(into);
        List<Run> runs = handOver(seeds);
        List<Use> uses = budgets(Math.min(seeds, 50));
        ColumnFile.write(
                into.resolve("duties-hand-over.arrow"),
                List.of(
                        ColumnFile.text(
                                "way", runs.stream().map(r -> word(r.way())).toList()),
                        ColumnFile.text(
                                "fault", runs.stream().map(r -> word(r.fault())).toList()),
                        ColumnFile.number(
                                "seed",
                                runs.stream().map(r -> (double) r.seed()).toList()),
                        ColumnFile.number(
                                "gap_ms", runs.stream().map(Run::gapMs).toList()),
                        ColumnFile.number(
                                "two_at_once",
                                runs.stream().map(r -> r.twice() ? 1.0 : 0.0).toList())));
        ColumnFile.write(
                into.resolve("duties-budget.arrow"),
                List.of(
                        ColumnFile.number(
                                "seed",
                                uses.stream().map(u -> (double) u.seed()).toList()),
                        ColumnFile.number("fixed", uses.stream().map(Use::fixed).toList()),
                        ColumnFile.number(
                                "divided", uses.stream().map(Use::divided).toList())));
        Charts.handOver(into.resolve("duties-hand-over.png"), runs);
        String tables = tables(runs, uses);
        Files.writeString(into.resolve("duties-hand-over.md"), tables);
        System.out.print(tables);
    }
}
