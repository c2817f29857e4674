package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assumptions;
import pewtercourse.emulator.SystemFaults;

/** Runs a director as a process of its own, as the platform does: controls it by signals and reads its log. */
final class DirectorProcess implements Closeable {
    // Far longer than any event takes, so that only a line that is never logged fails a test.
    private static final int EVENT_TIMEOUT_SECONDS = 90;
    private static final String LOG_ENDED = "(the log has ended)";

    // Fields of a line of /proc/net/tcp.
    private static final int TCP_STATE = 3;
    private static final int TCP_INODE = 9;
    private static final String TCP_LISTEN = "0A";

    private final Process process;
    private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>();
    private final List<String> allLines = new CopyOnWriteArrayList<>();
    private final InetSocketAddress listen;

    private DirectorProcess(Process process, InetSocketAddress listen) {
        this.process = process;
        this.listen = listen;
        Thread reader = new Thread(this::readLog, "director-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns the example configuration with a free listen address, no feed and {@code dial} for all members. */
    static JsonObject configWithoutFeed(String host, String dial) throws IOException {
        JsonObject config = ExampleConfig.json();
        config.remove("feed");
        config.put("listen", host + ":" + freePort(host));
        JsonArray members = config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
        members.forEach(member -> ((JsonObject) member).put("dial", dial));
        return config;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return free.getLocalPort();
        }
    }

    /**
     * Starts a director.
     *
     * @param shellPrefix shell commands that run before the program replaces the shell, such as a limit or a trap
     */
    static DirectorProcess start(Path folder, JsonObject config, String shellPrefix) throws IOException {
        return start(folder, config, shellPrefix, Map.of());
    }

    /** Starts a director under faults of its system calls and of its wall clock. */
    static DirectorProcess start(Path folder, JsonObject config, SystemFaults faults) throws IOException {
        return start(folder, config, "", faults.environment());
    }

    /** Compiles the library for faults; the test is skipped, and says so, on a machine without a C compiler. */
    static SystemFaults systemFaults(Path folder) throws IOException {
        Optional<Path> library = SystemFaults.compile(folder);
        Assumptions.assumeTrue(library.isPresent(), "not run: no C compiler (cc) on this machine");
        return SystemFaults.of(library.get(), folder.resolve("system-faults"));
    }

    private static DirectorProcess start(
            Path folder, JsonObject config, String shellPrefix, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config.encode());
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                shellPrefix + " exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().remove("GW_LISTEN");
        builder.environment().putAll(environment);
        String[] hostAndPort = config.getString("listen").split(":");
        return new DirectorProcess(
                builder.redirectErrorStream(true).start(),
                new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
    }

    private void readLog() {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                allLines.add(line);
                unreadLines.add(line);
            }
        } catch (IOException e) {
            // The process was killed.
        }
        unreadLines.add(LOG_ENDED);
    }

    /** Waits for the next log line of this event and returns the event. */
    String awaitEvent(String event) throws InterruptedException {
        StringBuilder skippedLines = new StringBuilder();
        for (String line = nextLine(); !line.contains(" " + event); line = nextLine()) {
            skippedLines.append(line).append('\n');
            if (line.equals(LOG_ENDED)) {
                return fail("the process ended without logging " + event + ":\n" + skippedLines);
            }
        }
        return event;
    }

    /** Waits for the next log line of this event and returns the line. */
    String awaitEventLine(String event) throws InterruptedException {
        String line = nextLine();
        while (!line.contains(" " + event) && !line.equals(LOG_ENDED)) {
            line = nextLine();
        }
        assertTrue(line.contains(event), "the process ended without logging " + event);
        return line;
    }

    /** All lines logged so far that contain this text. */
    List<String> logLinesContaining(String text) {
        return allLines.stream().filter(line -> line.contains(text)).toList();
    }

    private String nextLine() throws InterruptedException {
        String line = unreadLines.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return line == null ? fail("no further log line within " + EVENT_TIMEOUT_SECONDS + " s") : line;
    }

    InetSocketAddress address() {
        return listen;
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Waits for the process to exit and returns its exit code; fails when the timeout has passed. */
    int awaitExit(long timeoutSeconds) throws InterruptedException {
        assertTrue(process.waitFor(timeoutSeconds, TimeUnit.SECONDS), "still runs after " + timeoutSeconds + " s");
        return process.exitValue();
    }

    /** Counts the TCP sockets that the process has open now, in any state except listening. */
    long openConnections() throws IOException {
        Set<String> socketInodes = new HashSet<>();
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            descriptors.forEach(descriptor -> socketInodes.add(inode(descriptor)));
        }
        long connections = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            connections += Files.readAllLines(Path.of(table)).stream()
                    .map(line -> line.strip().split("\\s+"))
                    .filter(fields -> !fields[TCP_STATE].equals(TCP_LISTEN) && socketInodes.contains(fields[TCP_INODE]))
                    .count();
        }
        return connections;
    }

    private static String inode(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().replaceAll("socket:\\[(\\d+)]", "$1");
        } catch (IOException e) {
            return ""; // The descriptor was closed in the meantime.
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
