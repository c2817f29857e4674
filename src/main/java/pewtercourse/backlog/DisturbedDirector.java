package pewtercourse.backlog;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A director as a process on one core, which it may share with busy processes, and which may be stopped time and again. */
final class DisturbedDirector implements AutoCloseable {
    private static final Path TASKSET = Path.of("/usr/bin/taskset");
    private static final double KB_PER_MB = 1_024;

    private final Path folder;
    private final String core = String.valueOf(Runtime.getRuntime().availableProcessors() - 1);
    private final List<Process> disturbances = new ArrayList<>();
    private final Process process;

    /** Starts the director with the memory areas of {@code deploy/run.sh}. */
    DisturbedDirector(Path folder, JsonObject config, String classPath) throws IOException {
        this.folder = folder;
        Path file = Files.writeString(folder.resolve("director.json"), config.encodePrettily());
        ProcessBuilder builder = new ProcessBuilder(onOneCore(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss512k",
                "-Xms38m",
                "-Xmx76m",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=20m",
                "-XX:MaxDirectMemorySize=27m",
                "-cp",
                classPath,
                "pewtercourse.Main",
                "serve")));
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().remove("GW_LISTEN");
        process = builder.redirectErrorStream(true)
                .redirectOutput(logFile().toFile())
                .start();
    }

    private Path logFile() {
        return folder.resolve("director.log");
    }

    // Without taskset the processes run on all cores.
    private List<String> onOneCore(List<String> command) {
        List<String> pinned = new ArrayList<>();
        if (Files.isExecutable(TASKSET)) {
            pinned.addAll(List.of(TASKSET.toString(), "-c", core));
        }
        pinned.addAll(command);
        return pinned;
    }

    /** Starts the disturbances. */
    void disturb(BacklogPlan.Disturbance plan) throws IOException {
        for (int i = 0; i < plan.busyProcesses(); i++) {
            disturbances.add(start(onOneCore(List.of("sh", "-c", "while :; do :; done"))));
        }
        if (plan.stopMs() > 0) {
            String loop = String.format(
                    "while sleep %s && kill -STOP $0; do sleep %s; kill -CONT $0; done 2>/dev/null",
                    plan.runMs() / 1e3, plan.stopMs() / 1e3);
            disturbances.add(start(List.of("sh", "-c", loop, String.valueOf(process.pid()))));
        }
    }

    private static Process start(List<String> command) throws IOException {
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    /** Ends the disturbances; the director runs on. Blocks. */
    void endDisturbances() throws IOException, InterruptedException {
        for (Process disturbance : disturbances) {
            disturbance.destroyForcibly().waitFor();
        }
        disturbances.clear();
        if (process.isAlive()) {
            start(List.of("kill", "-CONT", String.valueOf(process.pid()))).waitFor();
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Processor time since the start. */
    double processorSeconds() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L)
                / (double) TimeUnit.SECONDS.toMillis(1);
    }

    double peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KB_PER_MB;
            }
        }
        return 0;
    }

    /** The log so far. */
    String log() throws IOException {
        return Files.readString(logFile());
    }

    @Override
    public void close() throws IOException, InterruptedException {
        endDisturbances();
        process.destroyForcibly().waitFor();
    }
}
