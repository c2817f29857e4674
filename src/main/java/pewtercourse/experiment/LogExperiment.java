package pewtercourse.experiment;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Save;
import pewtercourse.raft.store.LogStore;

/** Agreed changes a second and how long one takes, with real sockets and disks; and how long a start takes by log length. */
final class LogExperiment {
    private static final String HOST = "127.0.0.1";
    private static final long WARM_MS = 2_000, RUN_MS = 4_000;

    private LogExperiment() {}

    private static final ClusterHost NOBODY = new ClusterHost() {
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

    /** A line for each number of callers at once. */
    static String rates() throws Exception {
        Vertx vertx = Vertx.vertx();
        Path folder = Files.createTempDirectory("experiment");
        List<Integer> ports = new ArrayList<>();
        JsonArray members = new JsonArray();
        for (int i = 0; i < 3; i++) {
            try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                ports.add(s.getLocalPort());
            }
            members.add(new JsonObject().put("name", "d" + i).put("address", HOST + ":" + ports.get(i)));
        }
        List<ClusterMember> clusters = new ArrayList<>();
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
            LogStore.bootstrap(config.data(), config.cluster(), config.name(), Membership.founding(config.members()));
            var started = new java.util.concurrent.CompletableFuture<Void>();
            Context loop = vertx.getOrCreateContext(); // Another one each time, as this is no thread of the library's.
            loops.add(loop);
            loop.runOnContext(v -> {
                ClusterMember c = new ClusterMember(vertx, config, NOBODY);
                clusters.add(c);
                c.start().onComplete(r -> started.complete(null));
            });
            started.get(30, TimeUnit.SECONDS);
        }
        StringBuilder t = new StringBuilder(
                "| callers at once | agreed a second | median ms | 99th ms |\n| --- | --- | --- | --- |\n");
        for (int callers : new int[] {1, 8, 64, 240}) {
            ConcurrentHistogram times = new ConcurrentHistogram(60_000_000, 3);
            AtomicLong done = new AtomicLong();
            long begin = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_MS);
            long end = begin + TimeUnit.MILLISECONDS.toNanos(RUN_MS);
            loops.get(0).runOnContext(v -> {
                for (int i = 0; i < callers; i++) {
                    call(clusters.get(0), i, begin, end, times, done);
                }
            });
            Thread.sleep(WARM_MS + RUN_MS + 1_500);
            t.append(String.format(
                    "| %d | %.0f | %.2f | %.2f |%n",
                    callers,
                    done.get() * 1_000.0 / RUN_MS,
                    times.getValueAtPercentile(50) / 1_000.0,
                    times.getValueAtPercentile(99) / 1_000.0));
        }
        for (int i = 0; i < clusters.size(); i++) {
            ClusterMember c = clusters.get(i);
            loops.get(i).runOnContext(v -> c.close());
        }
        Thread.sleep(500);
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        return t.toString();
    }

    private static void call(
            ClusterMember c, int caller, long begin, long end, ConcurrentHistogram times, AtomicLong done) {
        long from = System.nanoTime();
        if (from >= end) {
            return;
        }
        boolean out = (done.get() & 1) == 0;
        String target = "c" + caller;
        c.propose(() -> out
                        ? new Command.DrainCache(target, 1, c.state().lastOperatorCommand(target))
                        : new Command.ReinstateCache(target, 1, c.state().lastOperatorCommand(target)))
                .onComplete(r -> {
                    long now = System.nanoTime();
                    if (r.succeeded() && from >= begin && now < end) {
                        times.recordValue((now - from) / 1_000);
                        done.incrementAndGet();
                    }
                    call(c, caller, begin, end, times, done);
                });
    }

    /** A line for each length of the log. */
    static String recovery() throws IOException {
        StringBuilder t = new StringBuilder(
                "| entries after the snapshot | MB | start, ms (median of five) |\n| --- | --- | --- |\n");
        for (int entries : new int[] {1_000, 10_000, 100_000}) {
            Path folder = Files.createTempDirectory("experiment").resolve("d");
            LogStore.bootstrap(folder, "c", "m", Membership.founding(Map.of("m", "a:1", "n", "a:2", "o", "a:3")));
            try (LogStore s = LogStore.open(folder, "c", "m", 4 << 20)) {
                s.recover();
                for (int i = 0; i < entries; i += 100) {
                    List<Entry> list = new ArrayList<>();
                    for (int j = 1; j <= 100; j++) {
                        list.add(Entry.command(
                                i + j,
                                1,
                                CommandCodec.encode(new Command.Envelope(
                                        "d1", i + j, new Command.DrainCache("s-" + j, 1_700_000_000_000L, 0)))));
                    }
                    s.save(List.of(new Save(i, 1, "m", i, null, list)));
                }
            }
            long bytes;
            try (var files = Files.list(folder)) {
                bytes = files.mapToLong(f -> f.toFile().length()).sum();
            }
            double[] times = new double[5];
            for (int i = 0; i < times.length; i++) {
                long from = System.nanoTime();
                try (LogStore s = LogStore.open(folder, "c", "m", 4 << 20)) {
                    s.recover();
                }
                times[i] = (System.nanoTime() - from) / 1e6;
            }
            java.util.Arrays.sort(times);
            t.append(String.format("| %d | %.1f | %.0f |%n", entries, bytes / 1e6, times[2]));
        }
        return t.toString();
    }
}
