package pewtercourse.experiment;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;
import pewtercourse.config.ClusterConfig;
import pewtercourse.raft.Membership;
import pewtercourse.raft.store.LogStore;

/**
 * How long {@code serve} takes to be ready, the processor time it uses until then and what memory it has, of several programs by turns, without a cluster and,
 * of the last of them, as the third member of one. All run one after the other: the machine should be idle.
 */
final class StartExperiment {
    private static final String HOST = "127.0.0.1", CLUSTER = " with a cluster";
    private static final long READY_MOST_MS = 30_000, SETTLE_MS = 2_000;

    /** {@code cpuMs}: processor time used until it was ready; divided by a share of a core, the least that a start takes there. */
    private record Sample(double readyMs, double cpuMs, double residentMb, double peakMb) {}

    private final Path folder;

    private StartExperiment(Path folder) {
        this.folder = folder;
    }

    /** {@code jars}: by name. A line for each way. */
    static String run(Map<String, Path> jars, int rounds, Path config) throws Exception {
        StartExperiment e = new StartExperiment(Files.createTempDirectory("experiment"));
        Map<String, List<Sample>> samples = new LinkedHashMap<>();
        Path newest = null;
        String name = "";
        for (Map.Entry<String, Path> j : jars.entrySet()) {
            newest = j.getValue();
            name = j.getKey();
        }
        List<Path> members = e.members();
        for (int i = 0; i < rounds; i++) {
            for (Map.Entry<String, Path> j : jars.entrySet()) {
                samples.computeIfAbsent(j.getKey(), k -> new ArrayList<>()).add(e.sample(j.getValue(), config, null));
            }
            List<Process> others = new ArrayList<>();
            for (Path file : members.subList(0, 2)) {
                others.add(e.serve(newest, config, file, port(), port()));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            samples.computeIfAbsent(name + CLUSTER, k -> new ArrayList<>())
                    .add(e.sample(newest, config, members.get(2)));
            for (Process p : others) {
                p.destroyForcibly().waitFor();
            }
        }
        StringBuilder t = new StringBuilder("| program | starts | ready, ms (median; least to greatest)"
                + " | processor time until ready, ms | resident MB, settled | greatest MB |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        samples.forEach((way, of) -> t.append(String.format(
                "| %s | %d | %s | %s | %s | %s |%n",
                way,
                of.size(),
                spread(of.stream().mapToDouble(Sample::readyMs).toArray(), "%.0f"),
                spread(of.stream().mapToDouble(Sample::cpuMs).toArray(), "%.0f"),
                spread(of.stream().mapToDouble(Sample::residentMb).toArray(), "%.1f"),
                spread(of.stream().mapToDouble(Sample::peakMb).toArray(), "%.1f"))));
        return t.toString();
    }

    private static String spread(double[] of, String form) {
        Percentile p = new Percentile();
        return String.format(
                form + "; " + form + " to " + form,
                p.evaluate(of, 50),
                java.util.Arrays.stream(of).min().orElse(0),
                java.util.Arrays.stream(of).max().orElse(0));
    }

    // Three files and laid folders.
    private List<Path> members() throws IOException {
        JsonArray all = new JsonArray();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ports.add(port());
            all.add(new JsonObject().put("name", "d" + i).put("address", HOST + ":" + ports.get(i)));
        }
        List<Path> files = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Path file = Files.writeString(
                    folder.resolve("d" + i + ".json"),
                    new JsonObject()
                            .put("cluster", "experiment")
                            .put("name", "d" + i)
                            .put("listen", HOST + ":" + ports.get(i))
                            .put("data", folder.resolve("d" + i).toString())
                            .put("members", all)
                            .put(
                                    "duties",
                                    new JsonObject()
                                            .put("maintenance", new JsonObject().put("most", 1))
                                            .put("quota", new JsonObject()))
                            .encode());
            ClusterConfig c = ClusterConfig.fromFile(file);
            LogStore.bootstrap(c.data(), c.cluster(), c.name(), Membership.founding(c.members()));
            files.add(file);
        }
        return files;
    }

    private Sample sample(Path jar, Path config, Path cluster) throws Exception {
        int admin = port();
        long from = System.nanoTime();
        Process p = serve(jar, config, cluster, port(), admin);
        try {
            while (!ready(admin)) {
                if (!p.isAlive() || System.nanoTime() - from > TimeUnit.MILLISECONDS.toNanos(READY_MOST_MS)) {
                    throw new IOException(
                            jar + " is not ready" + (p.isAlive() ? "" : ", it ended with " + p.exitValue()));
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
            double readyMs = (System.nanoTime() - from) / 1e6;
            double cpuMs = p.info()
                    .totalCpuDuration()
                    .map(Duration::toMillis)
                    .map(Long::doubleValue)
                    .orElse(Double.NaN);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            return new Sample(readyMs, cpuMs, statusMb(p, "VmRSS:"), statusMb(p, "VmHWM:"));
        } finally {
            p.destroyForcibly().waitFor();
        }
    }

    private Process serve(Path jar, Path config, Path cluster, int listen, int admin) throws IOException {
        ProcessBuilder b = new ProcessBuilder(
                        "java",
                        "-XX:+UseSerialGC",
                        "-XX:-UsePerfData",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx76m",
                        "-jar",
                        jar.toString(),
                        "serve")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD);
        b.environment().put("GW_CONFIG", config.toString());
        b.environment().put("GW_LISTEN", HOST + ":" + listen);
        b.environment().put("GW_ADMIN_ADDR", HOST + ":" + admin);
        if (cluster != null) {
            b.environment().put("GW_CLUSTER", cluster.toString());
        }
        return b.start();
    }

    private static boolean ready(int admin) {
        try (Socket s = new Socket(HOST, admin)) {
            s.setSoTimeout(2_000);
            s.getOutputStream().write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    private static double statusMb(Process p, String field) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(p.pid()), "status")).stream()
                .filter(l -> l.startsWith(field))
                .mapToDouble(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1_024.0)
                .findFirst()
                .orElse(Double.NaN);
    }

    private static int port() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return s.getLocalPort();
        }
    }
}
