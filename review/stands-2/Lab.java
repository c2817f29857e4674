import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, free ports, processes of the project, and calls to operators' addresses. */
final class Lab implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static {
        // A fault of the case itself, also before there is a record, is no verdict.
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            e.printStackTrace();
            if (thread.getName().equals("main")) {
                Runtime.getRuntime().halt(2);
            }
        });
    }

    private static final long MAX_RUN_MS = 110_000;

    private final PrintStream record;
    private final long startedAt = System.currentTimeMillis();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> reserved = new ArrayList<>();
    final Path folder;

    Lab(String caseFolder) throws IOException {
        record = new PrintStream(Files.newOutputStream(Path.of(caseFolder, "record.txt")), true, StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("TROUBLE=%s", TROUBLE ? "1" : "0");
        // A fault of the case itself is no verdict.
        Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> {
            e.printStackTrace(record);
            unable("%s", e);
        });
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(MAX_RUN_MS);
            } catch (InterruptedException e) {
                return;
            }
            unable("not finished after %d ms", MAX_RUN_MS);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Writes one line to the record, with the time since the start of the case. */
    synchronized void note(String format, Object... values) {
        String line = String.format("%8d ms  ", System.currentTimeMillis() - startedAt) + String.format(format, values);
        record.println(line);
    }

    /** Ends the case with the verdict; the exit code is 1 if the rule was broken. */
    void end(boolean broken, String format, Object... values) {
        String verdict = (broken ? "BROKEN: " : "HELD: ") + String.format(format, values);
        note("%s", verdict);
        System.out.println(verdict);
        System.exit(broken ? 1 : 0);
    }

    /** Ends the case because it could not run. */
    void unable(String format, Object... values) {
        String verdict = "COULD NOT RUN: " + String.format(format, values);
        note("%s", verdict);
        System.out.println(verdict);
        System.exit(2);
    }

    static InetAddress loopback() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A free port for a program that is started later. */
    synchronized int freePort() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(loopback(), 0));
        reserved.add(socket);
        return socket.getLocalPort();
    }

    /** Frees the ports that were reserved, right before the programs that use them start. */
    synchronized void releasePorts() throws IOException {
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        reserved.clear();
    }

    Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    /** Runs a command of the repository to its end. */
    void run(String command, Map<String, String> environment) throws Exception {
        Process process = start("command", command, environment);
        if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
            unable("'%s' failed", command);
        }
    }

    /** Starts a director with the deploy file's command. */
    Process director(String name, Path config, Map<String, String> environment) throws Exception {
        Map<String, String> all = new java.util.HashMap<>(environment);
        all.put("GW_NAME", name);
        all.put("GW_CONFIG", config.toString());
        Path temporary = Files.createDirectories(folder.resolve("tmp-" + name));
        all.put("TMPDIR", temporary.toString());
        Process process = start(name, "exec bash deploy/run.sh", all);
        note("started director %s", name);
        return process;
    }

    private Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    /** The log of a process so far. */
    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Calls an operators' address; returns the status and the body, or status 0 without an answer. */
    static String[] call(int port, String method, String path, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(loopback(), port), 1_000);
            socket.setSoTimeout(3_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nConnection: close\r\nContent-Length: "
                            + bytes.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.flush();
            InputStream in = socket.getInputStream();
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int space = text.indexOf(' ');
            int bodyAt = text.indexOf("\r\n\r\n");
            return new String[] {text.substring(space + 1, space + 4), bodyAt < 0 ? "" : text.substring(bodyAt + 4)};
        } catch (IOException | RuntimeException e) {
            return new String[] {"0", String.valueOf(e)};
        }
    }

    static String target(String id) {
        return "{\"target\":\"" + id + "\"}";
    }

    /** Waits until a director answers /alive with status 200. */
    void awaitAlive(String name, int port) throws Exception {
        long until = System.currentTimeMillis() + 40_000;
        while (System.currentTimeMillis() < until) {
            try (FcgiClient client = new FcgiClient(port)) {
                FcgiClient.Answer answer = client.send(1, Map.of("SCRIPT_NAME", "/alive", "REQUEST_METHOD", "GET"), new byte[0]);
                if (answer.await(2_000) && answer.status() == 200) {
                    note("director %s is ready", name);
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        unable("director %s was not ready in time", name);
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // Gone already.
        }
    }
}
