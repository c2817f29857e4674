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
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The program as the platform runs it: a process of its own, told things by signals, whose log is read. */
final class DirectorProcess implements Closeable {
    // Far over what any event takes: only a line that never comes is to fail a test.
    private static final int HEARD_SECONDS = 90;
    private static final String LOG_ENDED = "(the log has ended)";

    // Of a line of the system's table of connections.
    private static final int TCP_STATE = 3, TCP_INODE = 9;
    private static final String TCP_LISTEN = "0A";

    private final Process process;
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final List<String> all = new CopyOnWriteArrayList<>();
    private final InetSocketAddress listen;

    private DirectorProcess(Process process, InetSocketAddress listen) {
        this.process = process;
        this.listen = listen;
        Thread reader = new Thread(this::readLog, "director-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** The example's configuration with a free address to listen at and no feed; all members at {@code dial}. */
    static JsonObject config(String host, String dial) throws IOException {
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

    /** {@code shell}: what the shell does before it becomes the program, such as a limit or an ignored signal. */
    static DirectorProcess start(Path folder, JsonObject config, String shell) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config.encode());
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                shell + " exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().remove("GW_LISTEN");
        String[] at = config.getString("listen").split(":");
        return new DirectorProcess(
                builder.redirectErrorStream(true).start(), new InetSocketAddress(at[0], Integer.parseInt(at[1])));
    }

    private void readLog() {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                all.add(line);
                log.add(line);
            }
        } catch (IOException e) {
            // It was ended.
        }
        log.add(LOG_ENDED);
    }

    /** Waits for the next log line of this event. */
    String heard(String event) throws InterruptedException {
        StringBuilder seen = new StringBuilder();
        for (String line = next(); !line.contains(" " + event); line = next()) {
            seen.append(line).append('\n');
            if (line.equals(LOG_ENDED)) {
                return fail("ended without " + event + ":\n" + seen);
            }
        }
        return event;
    }

    /** The same, and the line itself. */
    String line(String event) throws InterruptedException {
        String line = next();
        while (!line.contains(" " + event) && !line.equals(LOG_ENDED)) {
            line = next();
        }
        assertTrue(line.contains(event), "ended without " + event);
        return line;
    }

    /** All lines so far that hold this text. */
    List<String> logged(String text) {
        return all.stream().filter(line -> line.contains(text)).toList();
    }

    private String next() throws InterruptedException {
        String line = log.poll(HEARD_SECONDS, TimeUnit.SECONDS);
        return line == null ? fail("nothing more in the log") : line;
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

    /** Waits for its end, for at most so long; returns its exit code. */
    int ended(long seconds) throws InterruptedException {
        assertTrue(process.waitFor(seconds, TimeUnit.SECONDS), "still runs after " + seconds + " s");
        return process.exitValue();
    }

    /** TCP connections that it holds now, in whatever state, but for those that listen. */
    long connections() throws IOException {
        Set<String> own = new HashSet<>();
        try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            open.forEach(descriptor -> own.add(inode(descriptor)));
        }
        long connections = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            connections += Files.readAllLines(Path.of(table)).stream()
                    .map(line -> line.strip().split("\\s+"))
                    .filter(fields -> !fields[TCP_STATE].equals(TCP_LISTEN) && own.contains(fields[TCP_INODE]))
                    .count();
        }
        return connections;
    }

    private static String inode(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().replaceAll("socket:\\[(\\d+)]", "$1");
        } catch (IOException e) {
            return ""; // Closed meanwhile.
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
