package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import pewtercourse.ExampleConfig;

/** Some directors as processes of the program, a relay on each link between two of them. */
final class ClusterProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    private static final int PORTS_FROM = 12_000, PORTS_TO = 32_000; // Below those that the system gives by itself.
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();
    private static final SecureRandom RANDOM = new SecureRandom();
    // Far over what anything here takes: only a condition that never comes runs into it.
    private static final long PATIENCE_MS = 90_000;

    final String name;
    final Path folder;
    final int size;
    final List<Member> members = new ArrayList<>();
    final Map<String, String> environment = new ConcurrentHashMap<>(); // Of each member, besides the usual.
    final Queue<String> log = new ConcurrentLinkedQueue<>(); // Several readers add while a test looks.
    private final Vertx vertx = Vertx.vertx();
    private final Map<String, Relay> links = new ConcurrentHashMap<>();
    private final JsonObject settings;

    final class Member {
        final int number;
        final String name;
        final int port, admin, listen;
        Path data, config;
        int blocks; // The greatest file it may write, in KB; 0: any.
        Process process;

        Member(int number) throws IOException {
            this.number = number;
            this.name = "d" + number;
            this.port = free();
            this.admin = free();
            this.listen = free();
            this.data = folder.resolve("data-" + name);
        }

        void start() throws IOException {
            List<String> java = List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx96m",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-XX:-UsePerfData",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "pewtercourse.Main",
                    "serve");
            List<String> command = blocks == 0
                    ? java
                    : new ArrayList<>(List.of("bash", "-c", "ulimit -f " + blocks + "; exec \"$@\"", "limited"));
            if (blocks > 0) {
                command.addAll(java);
            }
            ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
            b.environment()
                    .put("GW_CONFIG", folder.resolve("config-" + name + ".json").toString());
            b.environment().put("GW_CLUSTER", config.toString());
            b.environment().put("GW_ADMIN_ADDR", HOST + ":" + admin);
            b.environment().putAll(environment);
            b.environment().remove("TMPDIR"); // There two processes of one director leave word for one another.
            process = b.start();
            Process started = process;
            Thread reader = new Thread(() -> started.inputReader().lines().forEach(l -> log.add(name + " " + l)));
            reader.setDaemon(true);
            reader.start();
        }

        void kill() throws Exception {
            process.destroyForcibly().waitFor();
        }

        void signal(String signal) throws Exception {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                            .start()
                            .waitFor());
        }

        /** Null where it does not answer in time. */
        JsonObject status() {
            try {
                String s = call("GET /cluster/status", "");
                return s.startsWith("HTTP/1.1 200") ? new JsonObject(s.substring(s.indexOf("\r\n\r\n") + 4)) : null;
            } catch (IOException | RuntimeException e) {
                return null;
            }
        }

        String call(String line, String body) throws IOException {
            try (Socket s = new Socket(HOST, admin)) {
                s.setSoTimeout(4_000);
                s.getOutputStream()
                        .write((line + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        boolean enter(String target) {
            return said("/maintenance/enter", target);
        }

        boolean exit(String target) {
            return said("/maintenance/exit", target);
        }

        /** What is agreed on a site, or null. */
        JsonObject site(String name) {
            try {
                String s = call("GET /sites/status", "");
                return s.startsWith("HTTP/1.1 200")
                        ? new JsonObject(s.substring(s.indexOf("\r\n\r\n") + 4))
                                .getJsonArray("sites").stream()
                                        .map(o -> (JsonObject) o)
                                        .filter(o -> o.getString("site").equals(name))
                                        .findFirst()
                                        .orElse(null)
                        : null;
            } catch (IOException | RuntimeException e) {
                return null;
            }
        }

        private boolean said(String path, String target) {
            try {
                return call("POST " + path, "{\"target\":\"" + target + "\"}").startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        boolean out(String target) {
            JsonObject s = status();
            return s != null && s.getBoolean("open") && s.getJsonObject("out").containsKey(target);
        }

        /** What it uses to decide: the figure counts what is out at this director. */
        int outOfRotation() {
            try {
                return call("GET /status/metrics", "")
                        .lines()
                        .filter(l -> l.startsWith("out_of_rotation="))
                        .mapToInt(l -> Integer.parseInt(l.split("=")[1]))
                        .findFirst()
                        .orElse(-1);
            } catch (IOException e) {
                return -1;
            }
        }
    }

    /** Of {@code cluster.json}, with these duties: short times, so that tests need not wait long. */
    static JsonObject settings(JsonObject duties) {
        return new JsonObject()
                .put("heartbeat_ms", 40)
                .put("election_ms", new JsonArray().add(250).add(500))
                .put("lease_ms", 1_000)
                .put("drift", 0.01)
                .put("duties", duties);
    }

    /**
     * {@code name}: of the file in target/fault-logs that keeps what all members logged; {@code settings}: of
     * cluster.json, besides what differs from member to member.
     */
    ClusterProcesses(String name, Path folder, int size, JsonObject settings) throws Exception {
        this.name = name;
        this.folder = folder;
        this.size = size;
        this.settings = settings;
        for (int i = 0; i < size; i++) {
            members.add(new Member(i));
        }
        link();
        for (Member m : members) {
            write(m, members);
        }
    }

    private void link() throws Exception {
        for (Member a : members) {
            for (Member b : members) {
                if (a != b && !links.containsKey(a.name + ">" + b.name)) {
                    links.put(a.name + ">" + b.name, new Relay(vertx, b.port));
                }
            }
        }
    }

    /** So many newcomers, not started, whose files name all members. The files of the others stay as they are. */
    List<Member> grow(int count) throws Exception {
        List<Member> fresh = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fresh.add(new Member(members.size() + i));
        }
        members.addAll(fresh);
        link();
        for (Member m : fresh) {
            write(m, members);
        }
        return fresh;
    }

    /** A member's files, with these as the members. */
    void write(Member m, List<Member> listed) throws IOException {
        JsonArray all = new JsonArray();
        for (Member o : listed) {
            all.add(new JsonObject()
                    .put("name", o.name)
                    .put("address", HOST + ":" + (o == m ? o.port : link(m, o).port())));
        }
        m.config = Files.writeString(
                folder.resolve("cluster-" + m.name + ".json"),
                settings.copy()
                        .put("cluster", "test")
                        .put("name", m.name)
                        .put("listen", HOST + ":" + m.port)
                        .put("data", m.data.toString())
                        .put("members", all)
                        .encode());
        JsonObject config =
                ExampleConfig.json().put("listen", HOST + ":" + m.listen).put("peers", new JsonArray());
        config.remove("feed");
        config.remove("peer_listen");
        // A list that has changed before: no warm-up.
        config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .put("seq", 1);
        Files.writeString(folder.resolve("config-" + m.name + ".json"), config.encode());
    }

    /** Other director's configurations than the usual one. */
    void configure(Function<Member, JsonObject> config) throws IOException {
        for (Member m : members) {
            Files.writeString(
                    folder.resolve("config-" + m.name + ".json"),
                    config.apply(m).encode());
        }
    }

    void found() throws Exception {
        for (Member m : members) {
            found(m);
        }
    }

    void found(Member m) throws Exception {
        assertEquals(0, run("cluster", "init", m.config.toString()));
    }

    /** The command line, as a process; its output is added to the log. */
    int run(String... args) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main"));
        command.addAll(List.of(args));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        p.inputReader().lines().forEach(l -> log.add("line " + l));
        return p.waitFor();
    }

    void start() throws IOException {
        for (Member m : members) {
            m.start();
        }
    }

    Relay link(Member from, Member to) {
        return links.get(from.name + ">" + to.name);
    }

    /** {@code hears}, {@code heard}: whether what the others say still comes in, and what it says still goes out. */
    void cutOff(Member m, boolean hears, boolean heard) {
        for (Member o : members) {
            if (o != m) {
                link(m, o).cut(!heard, !hears);
                link(o, m).cut(!hears, !heard);
            }
        }
    }

    void mend() {
        links.values().forEach(Relay::mend);
    }

    static void until(String what, Supplier<Boolean> holds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!holds.get()) {
            assertTrue(System.nanoTime() < end, "never came: " + what);
            Thread.sleep(20);
        }
    }

    /** What a leader knows whom a majority has just confirmed; null if nobody is one, or it is not known in time. */
    JsonObject confirmed(List<Member> among) {
        for (Member m : among) {
            JsonObject s = m.process != null && m.process.isAlive() ? m.status() : null;
            if (s != null && s.getBoolean("open") && s.getBoolean("confirmed")) {
                return s;
            }
        }
        return null;
    }

    /** Asks whoever leads; false if nobody does or it says no. */
    boolean change(List<Member> among, String path, JsonObject body) {
        Member l = leader(among);
        try {
            return l != null && l.call("POST " + path, body.encode()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the leader has it as a member that votes, or learns. */
    boolean among(List<Member> leaders, Member m, boolean voter) {
        JsonObject s = confirmed(leaders);
        return s != null
                && s.getJsonArray("members").stream()
                        .map(o -> (JsonObject) o)
                        .anyMatch(o -> o.getString("name").equals(m.name) && (o.getBoolean("voter") || !voter));
    }

    /** A member that leads, and that a majority has just confirmed; null if none does. */
    Member leader(List<Member> among) {
        for (Member m : among) {
            JsonObject s = m.process != null && m.process.isAlive() ? m.status() : null;
            if (s != null && s.getBoolean("open") && s.getBoolean("confirmed")) {
                return m;
            }
        }
        return null;
    }

    Member awaitLeader(List<Member> among) throws InterruptedException {
        Member[] leader = new Member[1];
        until("a leader among " + among.stream().map(m -> m.name).toList(), () -> (leader[0] = leader(among)) != null);
        return leader[0];
    }

    /** Who holds a duty and has taken it up, as its holder itself says; null if nobody does. */
    Member holder(String duty, List<Member> among) {
        for (Member m : among) {
            JsonObject s = m.process.isAlive() ? m.status() : null;
            if (s != null
                    && s.getBoolean("open")
                    && s.getJsonArray("duties").stream()
                            .map(d -> (JsonObject) d)
                            .anyMatch(d -> d.getString("duty").equals(duty)
                                    && d.getValue("left_ms") instanceof Number n
                                    && n.longValue() > 0)) {
                return m;
            }
        }
        return null;
    }

    Member awaitHolder(String duty, List<Member> among) throws InterruptedException {
        Member[] holder = new Member[1];
        until("a holder of " + duty, () -> (holder[0] = holder(duty, among)) != null);
        return holder[0];
    }

    List<Member> but(Member... without) {
        List<Member> rest = new ArrayList<>(members);
        rest.removeAll(List.of(without));
        return rest;
    }

    /**
     * A port that nobody uses, and nobody is given by the system either: one that was drawn by binding 0 may be given to a
     * connection, or a relay, before the process that is to listen on it starts.
     */
    static int free() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = PORTS_FROM + RANDOM.nextInt(PORTS_TO - PORTS_FROM);
            if (GIVEN.add(port)) {
                try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                    return s.getLocalPort();
                } catch (BindException e) {
                    continue;
                }
            }
        }
        throw new IOException("no free port from " + PORTS_FROM + " to " + PORTS_TO);
    }

    boolean logged(String part) {
        return log.stream().anyMatch(l -> l.contains(part));
    }

    /** All that the members logged, for a message. */
    String told() {
        return String.join("\n", log);
    }

    @Override
    public void close() {
        try {
            Path logs = Files.createDirectories(Path.of("target/fault-logs"));
            Files.write(logs.resolve(name + ".log"), log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        members.forEach(m -> {
            if (m.process != null) {
                m.process.destroyForcibly();
            }
        });
        vertx.close();
    }
}
