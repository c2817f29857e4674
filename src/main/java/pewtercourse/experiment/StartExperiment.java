package pewtercourse.experiment;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
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
import pewtercourse.emulator.LoopbackPorts;
import pewtercourse.raft.Membership;
import pewtercourse.raft.store.LogStore;

/**
 * Measures the start time of {@code serve}, the processor time until it is ready, and its memory. Several jars are started in
 * turn without a cluster; the last of them is also started as the third member of a cluster. The machine should be idle.
 */
final class StartExperiment {
    private static final String HOST = "127.0.0.1";
    private static final String CLUSTER_SUFFIX = " with a cluster";
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long SETTLE_MS = 2_000;

    /**
     * One start. {@code cpuMs} is the processor time until ready; divided by a share of a core, it is the shortest start time on
     * that share.
     */
    private record Sample(double readyMs, double cpuMs, double residentMb, double peakMb) {}

    private final Path folder;

    private StartExperiment(Path folder) {
        this.folder = folder;
    }

    /** Starts each jar, keyed by name, in each round; returns a table with one line per program. */
    static String run(Map<String, Path> jars, int rounds, Path config) throws Exception {
        StartExperiment experiment = new StartExperiment(Files.createTempDirectory("experiment"));
        Map<String, List<Sample>> samples = new LinkedHashMap<>();
        Path lastJar = null;
        String lastName = "";
        for (Map.Entry<String, Path> jar : jars.entrySet()) {
            lastJar = jar.getValue();
            lastName = jar.getKey();
        }
        List<Path> memberFiles = experiment.createMembers();
        for (int i = 0; i < rounds; i++) {
            for (Map.Entry<String, Path> jar : jars.entrySet()) {
                samples.computeIfAbsent(jar.getKey(), k -> new ArrayList<>())
                        .add(experiment.sample(jar.getValue(), config, null));
            }
            List<Process> otherMembers = new ArrayList<>();
            for (Path file : memberFiles.subList(0, 2)) {
                otherMembers.add(
                        experiment.serve(lastJar, config, file, LoopbackPorts.unused(), LoopbackPorts.unused()));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            samples.computeIfAbsent(lastName + CLUSTER_SUFFIX, k -> new ArrayList<>())
                    .add(experiment.sample(lastJar, config, memberFiles.get(2)));
            for (Process process : otherMembers) {
                process.destroyForcibly().waitFor();
            }
        }
        StringBuilder table = new StringBuilder("| program | starts | ready, ms (median; least to greatest)"
                + " | processor time until ready, ms | resident MB, settled | greatest MB |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        samples.forEach((program, programSamples) -> table.append(String.format(
                "| %s | %d | %s | %s | %s | %s |%n",
                program,
                programSamples.size(),
                spread(programSamples.stream().mapToDouble(Sample::readyMs).toArray(), "%.0f"),
                spread(programSamples.stream().mapToDouble(Sample::cpuMs).toArray(), "%.0f"),
                spread(programSamples.stream().mapToDouble(Sample::residentMb).toArray(), "%.1f"),
                spread(programSamples.stream().mapToDouble(Sample::peakMb).toArray(), "%.1f"))));
        return table.toString();
    }

    private static String spread(double[] values, String format) {
        Percentile percentile = new Percentile();
        return String.format(
                format + "; " + format + " to " + format,
                percentile.evaluate(values, 50),
                java.util.Arrays.stream(values).min().orElse(0),
                java.util.Arrays.stream(values).max().orElse(0));
    }

    // Writes the configuration files of three members and bootstraps their data folders.
    private List<Path> createMembers() throws IOException {
        JsonArray membersJson = new JsonArray();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ports.add(LoopbackPorts.unused());
            membersJson.add(new JsonObject().put("name", "d" + i).put("address", HOST + ":" + ports.get(i)));
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
                            .put("members", membersJson)
                            .put(
                                    "duties",
                                    new JsonObject()
                                            .put("maintenance", new JsonObject().put("most", 1))
                                            .put("quota", new JsonObject()))
                            .encode());
            ClusterConfig clusterConfig = ClusterConfig.fromFile(file);
            LogStore.bootstrap(
                    clusterConfig.data(),
                    clusterConfig.cluster(),
                    clusterConfig.name(),
                    Membership.bootstrap(clusterConfig.members()));
            files.add(file);
        }
        return files;
    }

    private Sample sample(Path jar, Path config, Path cluster) throws Exception {
        int adminPort = LoopbackPorts.unused();
        long startedNanos = System.nanoTime();
        Process process = serve(jar, config, cluster, LoopbackPorts.unused(), adminPort);
        try {
            while (!isReady(adminPort)) {
                if (!process.isAlive()
                        || System.nanoTime() - startedNanos > TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS)) {
                    throw new IOException(jar + " is not ready"
                            + (process.isAlive() ? "" : ", it ended with " + process.exitValue()));
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
            double readyMs = (System.nanoTime() - startedNanos) / 1e6;
            double cpuMs = process.info()
                    .totalCpuDuration()
                    .map(Duration::toMillis)
                    .map(Long::doubleValue)
                    .orElse(Double.NaN);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            return new Sample(readyMs, cpuMs, statusMb(process, "VmRSS:"), statusMb(process, "VmHWM:"));
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private Process serve(Path jar, Path config, Path cluster, int listenPort, int adminPort) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
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
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("GW_LISTEN", HOST + ":" + listenPort);
        builder.environment().put("GW_ADMIN_ADDR", HOST + ":" + adminPort);
        if (cluster != null) {
            builder.environment().put("GW_CLUSTER", cluster.toString());
        }
        return builder.start();
    }

    private static boolean isReady(int adminPort) {
        try (Socket s = new Socket(HOST, adminPort)) {
            s.setSoTimeout(2_000);
            s.getOutputStream().write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    private static double statusMb(Process process, String field) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status")).stream()
                .filter(l -> l.startsWith(field))
                .mapToDouble(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1_024.0)
                .findFirst()
                .orElse(Double.NaN);
    }
}
