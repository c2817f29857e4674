package pewtercourse.soak;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import pewtercourse.emulator.SystemFaults;

/** One director as a process of its own, which is started, signalled and started again. */
final class DirectorInstance {
    /** What the platform knows of a director. */
    enum State {
        /** Its process has started and is not ready. */
        STARTING,
        /** It was ready. */
        READY,
        /** SIGTERM was sent. */
        TERMINATING,
        /** It was killed without a warning. */
        KILLED,
        /** It has ended, or was killed after SIGTERM. */
        ENDED
    }

    private static final double KB_PER_MB = 1_024;

    final int number;
    final String listen;
    /** Null on a machine without a C compiler. */
    final SystemFaults faults;

    private final Path folder;
    private final int heapMb;
    private final String classPath;
    State state = State.ENDED;
    long startedAt;
    long terminatedAt;
    /** Whether the process was killed since it had not ended after SIGTERM. */
    boolean killedAfterTerm;

    private Process process;
    private int starts;

    DirectorInstance(int number, String listen, Path folder, SystemFaults faults, int memoryMb, String classPath) {
        this.number = number;
        this.listen = listen;
        this.folder = folder;
        this.faults = faults;
        this.heapMb = memoryMb * 2 / 5;
        this.classPath = classPath;
    }

    /** Writes the configuration, which a running process reads again at SIGHUP. */
    void configure(JsonObject config) {
        try {
            Files.writeString(folder.resolve("director-" + number + ".json"), config.encodePrettily());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a process with the memory areas of {@code deploy/run.sh}. Blocks. */
    void start() {
        Path log = folder.resolve("director-" + number + "." + starts++ + ".log");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss512k",
                "-Xmx" + heapMb + "m",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=20m",
                "-XX:MaxDirectMemorySize=27m",
                "-Dpewtercourse.trace=true",
                "-cp",
                classPath,
                "pewtercourse.Main",
                "serve");
        builder.environment()
                .put("GW_CONFIG", folder.resolve("director-" + number + ".json").toString());
        builder.environment().remove("GW_LISTEN");
        if (faults != null) {
            builder.environment().putAll(faults.environment());
        }
        try {
            process = builder.redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends a signal by its name, without "SIG". Blocks. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the process for a time, again and again, with a time to run between. Blocks until the last stop has ended. */
    void stopRepeatedly(int times, int stopMs, int runMs) {
        String loop = String.format(
                java.util.Locale.ROOT,
                "for i in $(seq %d); do kill -STOP $0; sleep %s; kill -CONT $0; sleep %s; done 2>/dev/null",
                times,
                stopMs / 1e3,
                runMs / 1e3);
        try {
            new ProcessBuilder("sh", "-c", loop, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The most memory that the process has used, in MB; 0 if it has ended. */
    double peakMemoryMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("\\D", "")) / KB_PER_MB;
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    /** The descriptors that the process has open; 0 if it has ended. */
    int descriptors() {
        try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            return (int) open.count();
        } catch (IOException e) {
            return 0;
        }
    }

    /** The last lines of the log that contain a text. */
    List<String> logLines(String text) {
        List<String> lines = new java.util.ArrayList<>();
        for (int i = 0; i < starts; i++) {
            try (Stream<String> log = Files.lines(folder.resolve("director-" + number + "." + i + ".log"))) {
                log.filter(line -> line.contains(text)).forEach(lines::add);
            } catch (IOException | UncheckedIOException e) {
                continue; // The log is unreadable; the others may help.
            }
        }
        return lines;
    }
}
