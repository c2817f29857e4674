package pewtercourse.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pewtercourse.lease.Command;

/** The agreement and the duties over many seeds of faults; a failing seed is named and plays the same again. */
class ClusterSimTest {
    private static final int SEEDS = 300, SEEDS_PLANTED = 300;
    private static final long SECOND = ClusterSim.SECOND, MS = ClusterSim.MS;

    /** Faults for ten seconds, then none: it must be well again by itself. */
    private static ClusterSim play(long seed, ClusterSim.Planted planted) {
        ClusterSim sim = new ClusterSim(seed, 3 + 2 * (int) (seed % 2), planted);
        for (long t = 300 * MS; t < 10 * SECOND; t += 50 * MS + sim.random.nextInt(400_000)) {
            sim.at(t, () -> trouble(sim));
        }
        for (long t = 100 * MS; t < 14 * SECOND; t += 20 * MS + sim.random.nextInt(150_000)) {
            sim.at(t, () -> demand(sim));
        }
        sim.play(10 * SECOND);
        if (sim.trouble == null) {
            sim.heal();
            sim.play(20 * SECOND);
        }
        return sim;
    }

    private static void trouble(ClusterSim sim) {
        ClusterSim.Node n = sim.nodes.get(sim.random.nextInt(sim.nodes.size()));
        ClusterSim.Node m = sim.nodes.get(sim.random.nextInt(sim.nodes.size()));
        switch (sim.random.nextInt(10)) {
            case 0 -> {
                if (n.up) {
                    n.crash();
                    sim.at(sim.now + sim.random.nextInt(1_500_000), () -> {
                        if (!n.up) {
                            n.start();
                        }
                    });
                }
            }
            case 1, 2 -> {
                sim.stop(n);
                sim.at(sim.now + sim.random.nextInt(2_500_000), () -> sim.goOn(n));
            }
            case 3 ->
                sim.nodes.forEach(
                        x -> { // Alone.
                            sim.cut(n, x, true);
                            sim.cut(x, n, true);
                        });
            case 4 -> sim.nodes.forEach(x -> sim.cut(n, x, true)); // Heard no more, and still hears.
            case 5 -> sim.cut(n, m, true);
            case 7 ->
                sim.nodes.forEach(
                        x -> { // All at once.
                            if (x.up) {
                                x.crash();
                                sim.at(sim.now + sim.random.nextInt(600_000), () -> {
                                    if (!x.up) {
                                        x.start();
                                    }
                                });
                            }
                        });
            case 6 -> sim.lossy = sim.random.nextDouble() * 0.3;
            default -> sim.nodes.forEach(x -> sim.nodes.forEach(y -> sim.cut(x, y, false)));
        }
    }

    private static void demand(ClusterSim sim) {
        ClusterSim.Node n = sim.nodes.get(sim.random.nextInt(sim.nodes.size()));
        if (!n.up || n.still) {
            return;
        }
        String target = "c" + sim.random.nextInt(ClusterSim.CACHES);
        long unix = sim.now / MS;
        int kind = sim.random.nextInt(3);
        Command.Envelope s = kind == 0
                ? n.duties
                        .requestQuota(n.clock(), 200 + sim.random.nextInt(2_000))
                        .orElse(null)
                : n.duties.sign(
                        kind == 1
                                ? new Command.RequestMaintenance(
                                        target,
                                        "z" + Math.floorMod(target.hashCode(), 2),
                                        unix,
                                        n.duties.state().lastOperatorCommand(target))
                                : new Command.ReinstateCache(
                                        target, unix, n.duties.state().lastOperatorCommand(target)));
        if (s != null) {
            n.offer(s);
            n.pump();
        }
    }

    @Test
    void throughAllFaultsNothingAgreedIsLostAndNoDutyIsHeldTwice() {
        AtomicLong acts = new AtomicLong(), lent = new AtomicLong();
        LongStream.range(0, SEEDS).parallel().forEach(seed -> {
            ClusterSim sim = play(seed, ClusterSim.Planted.NONE);
            boolean well = sim.until(
                    20 * SECOND,
                    () -> sim.leader() != null
                            && sim.set.leaseNames().stream()
                                    .allMatch(duty -> sim.nodes.stream()
                                            .anyMatch(n -> n.duties.validToken(duty, n.clock()) > 0)));
            assertNull(sim.trouble, "seed " + seed);
            assertTrue(well, "seed " + seed + ": no leader, or a duty that nobody holds, after the faults were over");
            acts.addAndGet(sim.acts);
            lent.addAndGet(sim.lentMost);
        });
        assertTrue(acts.get() > SEEDS, "the maintenance duty acts: " + acts);
        assertTrue(lent.get() > 0, "the quota duty lends: " + lent);
    }

    @ParameterizedTest
    @EnumSource(
            value = ClusterSim.Planted.class,
            names = {"SAID_BEFORE_SAVED", "LEASE_FROM_ANSWER", "TOKEN_UNCHECKED", "LOAN_FROM_ANSWER", "WORD_UNCHECKED"})
    void aPlantedFaultIsFound(ClusterSim.Planted planted) {
        assertTrue(
                LongStream.range(0, SEEDS_PLANTED).parallel().anyMatch(seed -> play(seed, planted).trouble != null),
                "not found: " + planted);
    }

    /** How far the term rises when a member that was cut off for long comes back. */
    private static long termsByReturn(ClusterSim.Planted planted) {
        ClusterSim sim = new ClusterSim(7, 3, planted);
        sim.play(3 * SECOND);
        ClusterSim.Node away = sim.nodes.stream()
                .filter(n -> !n.name.equals(sim.leader()))
                .findFirst()
                .orElseThrow();
        sim.nodes.forEach(x -> {
            sim.cut(away, x, true);
            sim.cut(x, away, true);
        });
        long before = sim.highestTerm;
        sim.play(8 * SECOND);
        sim.heal();
        sim.play(12 * SECOND);
        assertNull(sim.trouble);
        return sim.highestTerm - before;
    }

    @Test
    void aMemberThatWasCutOffComesBackWithoutAnElection() {
        assertEquals(0, termsByReturn(ClusterSim.Planted.NONE));
        assertTrue(termsByReturn(ClusterSim.Planted.NO_PRE_VOTE) > 1, "without the pre-vote it unseats the leader");
    }

    @Test
    void aMemberThatLostItsFolderLearnsAnewAndVotesAgain() {
        LongStream.range(0, 40).parallel().forEach(seed -> {
            ClusterSim sim = new ClusterSim(seed, 3, ClusterSim.Planted.NONE);
            sim.at(2 * SECOND, () -> {
                ClusterSim.Node n = sim.nodes.get(sim.random.nextInt(3));
                n.crash();
                sim.swap(n);
                n.start();
            });
            for (long t = 100 * MS; t < 9 * SECOND; t += 50 * MS) {
                sim.at(t, () -> demand(sim));
            }
            sim.play(4 * SECOND);
            boolean votes = sim.until(
                    20 * SECOND,
                    () -> sim.leader() != null
                            && sim.node(sim.leader()).raft.members().voters() == 3);
            assertNull(sim.trouble, "seed " + seed);
            assertTrue(votes, "seed " + seed + ": a member is missing, " + sim.leader());
        });
    }
}
