package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;

/** Runs a member of the cluster under test as a process of the program, and makes the calls of operators to it. */
final class MemberProcess {
    private static final int CALL_TIMEOUT_MS = 4_000;
    private static final String OK = "HTTP/1.1 200";
    private static final String END_OF_HEADERS = "\r\n\r\n";

    final int number;
    final String name;
    final int clusterPort;
    final int adminPort;
    final int clientPort;
    final Path directorConfig;
    Path clusterConfig;
    Path dataFolder;
    int maxFileKilobytes; // 0: no limit.
    Process process;
    private final Map<String, String> environment;
    private final Queue<String> log;

    /**
     * Chooses the ports and paths of a process without starting it.
     *
     * @param environment additional environment variables
     * @param log         receives the lines that the process writes, each prefixed with the member's name
     */
    MemberProcess(int number, Path folder, Map<String, String> environment, Queue<String> log) throws IOException {
        this.number = number;
        this.name = "d" + number;
        this.clusterPort = TestPorts.unused();
        this.adminPort = TestPorts.unused();
        this.clientPort = TestPorts.unused();
        this.directorConfig = folder.resolve("config-" + name + ".json");
        this.dataFolder = folder.resolve("data-" + name);
        this.environment = environment;
        this.log = log;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command()).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", directorConfig.toString());
        builder.environment().put("GW_CLUSTER", clusterConfig.toString());
        builder.environment().put("GW_ADMIN_ADDR", adminAddress());
        builder.environment().putAll(environment);
        builder.environment().remove("TMPDIR"); // Otherwise processes would share the state file there.
        process = builder.start();
        Process started = process;
        Thread reader = new Thread(() -> started.inputReader().lines().forEach(line -> log.add(name + " " + line)));
        reader.setDaemon(true);
        reader.start();
    }

    private List<String> command() {
        List<String> command = new ArrayList<>();
        if (maxFileKilobytes > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -f " + maxFileKilobytes + "; exec \"$@\"", "limited"));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main",
                "serve"));
        return command;
    }

    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    void signal(String signal) throws Exception {
        String pid = String.valueOf(process.pid());
        assertEquals(0, new ProcessBuilder("kill", "-" + signal, pid).start().waitFor());
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    String adminAddress() {
        return ClusterProcesses.HOST + ":" + adminPort;
    }

    String clientAddress() {
        return ClusterProcesses.HOST + ":" + clientPort;
    }

    /** Calls the operators' address and returns the complete response. {@code request} is the method and the path. */
    String call(String request, String body) throws IOException {
        try (Socket socket = new Socket(ClusterProcesses.HOST, adminPort)) {
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            String head = request + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + END_OF_HEADERS;
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns whether the call succeeded; false also if there was no response in time. */
    boolean post(String path, String body) {
        try {
            return call("POST " + path, body).startsWith(OK);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the JSON response; null if the call fails or there is no response in time. */
    private JsonObject get(String path) {
        try {
            String response = call("GET " + path, "");
            return response.startsWith(OK)
                    ? new JsonObject(response.substring(response.indexOf(END_OF_HEADERS) + END_OF_HEADERS.length()))
                    : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Returns the cluster status; null if the call fails or there is no response in time. */
    JsonObject status() {
        return get("/cluster/status");
    }

    /** Returns whether the director serves clients, independently of its cluster; false also if the call fails. */
    boolean isServing() {
        try {
            return call("GET /status", "").startsWith(OK);
        } catch (IOException e) {
            return false;
        }
    }

    boolean enterMaintenance(String cache) {
        return post("/maintenance/enter", "{\"target\":\"" + cache + "\"}");
    }

    boolean exitMaintenance(String cache) {
        return post("/maintenance/exit", "{\"target\":\"" + cache + "\"}");
    }

    /** Returns the committed status of a site as this member knows it; null if it is unknown or the call fails. */
    JsonObject site(String site) {
        JsonObject status = get("/sites/status");
        return status == null
                ? null
                : status.getJsonArray("sites").stream()
                        .map(JsonObject.class::cast)
                        .filter(candidate -> candidate.getString("site").equals(site))
                        .findFirst()
                        .orElse(null);
    }

    boolean isDrained(String cache) {
        JsonObject status = status();
        return status != null
                && status.getBoolean("open")
                && status.getJsonObject("out").containsKey(cache);
    }

    /** Returns the metric of the caches out of rotation at this director; -1 if it can't be read. */
    int outOfRotation() {
        try {
            return call("GET /status/metrics", "")
                    .lines()
                    .filter(line -> line.startsWith("out_of_rotation="))
                    .mapToInt(line -> Integer.parseInt(line.split("=")[1]))
                    .findFirst()
                    .orElse(-1);
        } catch (IOException e) {
            return -1;
        }
    }
}
