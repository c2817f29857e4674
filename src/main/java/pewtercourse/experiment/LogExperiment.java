package pewtercourse.experiment;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import pewtercourse.cluster.ClusterHost;
import pewtercourse.cluster.ClusterMember;
import pewtercourse.config.ClusterConfig;
import pewtercourse.emulator.LoopbackPorts;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.store.LogStore;

/** Measures commit throughput and latency with real sockets and disks, and recovery time by log length. */
final class LogExperiment {
    private static final String HOST = "127.0.0.1";
    private static final long WARM_UP_MS = 2_000;
    private static final long MEASURE_MS = 4_000;

    private LogExperiment() {}

    private static final ClusterHost NO_OP_HOST = new ClusterHost() {
        @Override
        public void drainsChanged(Map<String, Long> drained, Map<String, Long> reinstated) {}

        @Override
        public String zoneOf(String target) {
            return "";
        }

        @Override
        public int zoneSize(String zone) {
            return 0;
        }

        @Override
        public void setQuotaFactor(double factor) {}

        @Override
        public double wantedQuota() {
            return 0;
        }
    };

    /** Measures throughput and latency; the table has one line per number of concurrent callers. */
    static String rates() throws Exception {
        Vertx vertx = Vertx.vertx();
        Path folder = Files.createTempDirectory("experiment");
        List<Integer> ports = new ArrayList<>();
        JsonArray members = new JsonArray();
        for (int i = 0; i < 3; i++) {
            ports.add(LoopbackPorts.unused());
            members.add(new JsonObject().put("name", "d" + i).put("address", HOST + ":" + ports.get(i)));
        }
        List<ClusterMember> clusterMembers = new ArrayList<>();
        List<Context> loops = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Path file = Files.writeString(
                    folder.resolve("d" + i + ".json"),
                    new JsonObject()
                            .put("cluster", "experiment")
                            .put("name", "d" + i)
                            .put("listen", HOST + ":" + ports.get(i))
                            .put("data", folder.resolve("d" + i).toString())
                            .put("members", members)
                            .encode());
            ClusterConfig config = ClusterConfig.fromFile(file);
            LogStore.bootstrap(config.data(), config.cluster(), config.name(), Membership.bootstrap(config.members()));
            var started = new java.util.concurrent.CompletableFuture<Void>();
            Context loop =
                    vertx.getOrCreateContext(); // A new context each time: this thread does not belong to Vert.x.
            loops.add(loop);
            loop.runOnContext(v -> {
                ClusterMember member = new ClusterMember(vertx, config, NO_OP_HOST);
                clusterMembers.add(member);
                member.start().onComplete(r -> started.complete(null));
            });
            started.get(30, TimeUnit.SECONDS);
        }
        StringBuilder table = new StringBuilder(
                "| callers at once | agreed a second | median ms | 99th ms |\n| --- | --- | --- | --- |\n");
        for (int callers : new int[] {1, 8, 64, 240}) {
            ConcurrentHistogram latenciesMicros = new ConcurrentHistogram(60_000_000, 3);
            AtomicLong committedCount = new AtomicLong();
            long measureFromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_UP_MS);
            long measureUntilNanos = measureFromNanos + TimeUnit.MILLISECONDS.toNanos(MEASURE_MS);
            loops.get(0).runOnContext(v -> {
                for (int i = 0; i < callers; i++) {
                    callRepeatedly(
                            clusterMembers.get(0),
                            i,
                            measureFromNanos,
                            measureUntilNanos,
                            latenciesMicros,
                            committedCount);
                }
            });
            Thread.sleep(WARM_UP_MS + MEASURE_MS + 1_500);
            table.append(String.format(
                    "| %d | %.0f | %.2f | %.2f |%n",
                    callers,
                    committedCount.get() * 1_000.0 / MEASURE_MS,
                    latenciesMicros.getValueAtPercentile(50) / 1_000.0,
                    latenciesMicros.getValueAtPercentile(99) / 1_000.0));
        }
        for (int i = 0; i < clusterMembers.size(); i++) {
            ClusterMember member = clusterMembers.get(i);
            loops.get(i).runOnContext(v -> member.close());
        }
        Thread.sleep(500);
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        return table.toString();
    }

    private static void callRepeatedly(
            ClusterMember member,
            int caller,
            long measureFromNanos,
            long measureUntilNanos,
            ConcurrentHistogram latenciesMicros,
            AtomicLong committedCount) {
        long startedNanos = System.nanoTime();
        if (startedNanos >= measureUntilNanos) {
            return;
        }
        boolean drains = (committedCount.get() & 1) == 0;
        String target = "c" + caller;
        member.propose(() -> drains
                        ? new Command.DrainCache(target, 1, member.state().lastOperatorCommand(target))
                        : new Command.ReinstateCache(target, 1, member.state().lastOperatorCommand(target)))
                .onComplete(r -> {
                    long now = System.nanoTime();
                    if (r.succeeded() && startedNanos >= measureFromNanos && now < measureUntilNanos) {
                        latenciesMicros.recordValue((now - startedNanos) / 1_000);
                        committedCount.incrementAndGet();
                    }
                    callRepeatedly(
                            member, caller, measureFromNanos, measureUntilNanos, latenciesMicros, committedCount);
                });
    }

    /** Measures recovery time; the table has one line per length of the log. */
    static String recovery() throws IOException {
        StringBuilder table = new StringBuilder(
                "| entries after the snapshot | MB | start, ms (median of five) |\n| --- | --- | --- |\n");
        for (int entries : new int[] {1_000, 10_000, 100_000}) {
            Path folder = Files.createTempDirectory("experiment").resolve("d");
            LogStore.bootstrap(folder, "c", "m", Membership.bootstrap(Map.of("m", "a:1", "n", "a:2", "o", "a:3")));
            try (LogStore store = LogStore.open(folder, "c", "m", 4 << 20)) {
                store.recover();
                for (int i = 0; i < entries; i += 100) {
                    List<Entry> batch = new ArrayList<>();
                    for (int j = 1; j <= 100; j++) {
                        batch.add(Entry.command(
                                i + j,
                                1,
                                CommandCodec.encode(new Command.Envelope(
                                        "d1", i + j, new Command.DrainCache("s-" + j, 1_700_000_000_000L, 0)))));
                    }
                    store.save(List.of(new Save(i, 1, "m", i, null, batch)));
                }
            }
            long logBytes;
            try (var files = Files.list(folder)) {
                logBytes = files.mapToLong(f -> f.toFile().length()).sum();
            }
            double[] recoveryMs = new double[5];
            for (int i = 0; i < recoveryMs.length; i++) {
                long startedNanos = System.nanoTime();
                try (LogStore store = LogStore.open(folder, "c", "m", 4 << 20)) {
                    store.recover();
                }
                recoveryMs[i] = (System.nanoTime() - startedNanos) / 1e6;
            }
            java.util.Arrays.sort(recoveryMs);
            table.append(String.format("| %d | %.1f | %.0f |%n", entries, logBytes / 1e6, recoveryMs[2]));
        }
        return table.toString();
    }
}
