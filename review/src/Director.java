import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One director, started with the command `run` of the deploy file in a temporary folder of its own. */
final class Director implements AutoCloseable {
    final Path root;
    final Path folder;
    final String name;
    final int port;
    final int adminPort;
    private final Recorder record;
    Process process;

    Director(Path root, String name, Recorder record) throws IOException {
        this.root = root;
        this.name = name;
        this.record = record;
        this.folder = Files.createTempDirectory("review-" + name + "-");
        this.port = freePort();
        this.adminPort = freePort();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    Path config() {
        return folder.resolve("config.json");
    }

    void writeConfig(String json) throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, json);
        Files.move(next, config(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts `run`; descriptor 0 is the null device. */
    void start(Map<String, String> more) throws IOException {
        start(more, new File("/dev/null"));
    }

    private void start(Map<String, String> more, File input) throws IOException {
        Path temporary = folder.resolve("tmp");
        Files.createDirectories(temporary);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run"));
        builder.directory(root.toFile());
        builder.environment().putAll(Map.of(
                "GW_NAME", name,
                "GW_LISTEN", address(),
                "GW_ADMIN_ADDR", "127.0.0.1:" + adminPort,
                "GW_CONFIG", config().toString(),
                "TMPDIR", temporary.toString()));
        builder.environment().putAll(more);
        builder.redirectInput(input);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly)); // Also if the case is stopped.
        record.note("director %s started, process %d, clients %s", name, process.pid(), address());
    }

    private String command(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** Waits until /alive is answered with 200; false after the time. */
    boolean awaitAlive(long timeoutMs) throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            try (FastCgi client = new FastCgi(port, 0)) {
                client.send(1, Map.of("SCRIPT_NAME", "/alive", "REQUEST_METHOD", "GET"), new byte[0]);
                FastCgi.Answer answer = client.readAnswer(1_000);
                if (answer != null && answer.status() == 200) {
                    record.note("director %s is alive", name);
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.note("signal %s to director %s", signal, name);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                .inheritIO()
                .start()
                .waitFor();
    }

    List<String> logLines(String word) throws IOException {
        List<String> lines = new ArrayList<>();
        Path log = folder.resolve("log");
        if (Files.exists(log)) {
            for (String line : Files.readString(log, StandardCharsets.UTF_8).split("\n")) {
                if (line.contains(word)) {
                    lines.add(line);
                }
            }
        }
        return lines;
    }

    /** Copies the director's log to the record and ends the process. */
    @Override
    public void close() throws IOException {
        if (process != null) {
            boolean alive = process.isAlive();
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            record.note("director %s: running at the end of the case: %s", name, alive);
            for (String line : logLines("")) {
                record.note("log %s | %s", name, line);
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
