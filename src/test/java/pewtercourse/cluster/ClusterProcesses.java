package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import pewtercourse.ExampleConfig;

/** Some directors as processes of the program, a relay on each link between two of them. */
final class ClusterProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    // Far over what anything here takes: only a condition that never comes runs into it.
    private static final long PATIENCE_MS = 90_000;

    final List<MemberProcess> members = new ArrayList<>();
    final Map<String, String> environment = new ConcurrentHashMap<>(); // Of each member, besides the usual.
    final Queue<String> log = new ConcurrentLinkedQueue<>(); // Several readers add while a test looks.
    private final String name;
    private final Path folder;
    private final JsonObject settings;
    private final Vertx vertx = Vertx.vertx();
    private final Map<String, Relay> links = new ConcurrentHashMap<>();

    /** Of {@code cluster.json}, with these leases: short times, so that tests need not wait long. */
    static JsonObject settings(JsonObject leases) {
        return new JsonObject()
                .put("heartbeat_ms", 40)
                .put("election_ms", new JsonArray().add(250).add(500))
                .put("lease_ms", 1_000)
                .put("drift", 0.01)
                .put("duties", leases);
    }

    /**
     * Writes the files of a cluster; nothing is started yet.
     *
     * @param name     of the file in target/fault-logs that keeps what all members logged
     * @param settings of cluster.json, besides what differs from member to member
     */
    ClusterProcesses(String name, Path folder, int size, JsonObject settings) throws Exception {
        this.name = name;
        this.folder = folder;
        this.settings = settings;
        for (int i = 0; i < size; i++) {
            members.add(newProcess(i));
        }
        linkAll();
        for (MemberProcess member : members) {
            writeConfigs(member, members);
        }
    }

    /** Not among the members. */
    MemberProcess newProcess(int number) throws IOException {
        return new MemberProcess(number, folder, environment, log);
    }

    private void linkAll() throws Exception {
        for (MemberProcess from : members) {
            for (MemberProcess to : members) {
                if (from != to && !links.containsKey(linkName(from, to))) {
                    links.put(linkName(from, to), new Relay(vertx, to.clusterPort));
                }
            }
        }
    }

    private static String linkName(MemberProcess from, MemberProcess to) {
        return from.name + ">" + to.name;
    }

    /** So many new members, not started, whose files name all members. The files of the others stay as they are. */
    List<MemberProcess> addProcesses(int count) throws Exception {
        List<MemberProcess> added = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            added.add(newProcess(members.size() + i));
        }
        members.addAll(added);
        linkAll();
        for (MemberProcess member : added) {
            writeConfigs(member, members);
        }
        return added;
    }

    /** A member's files, with these as the members. */
    void writeConfigs(MemberProcess member, List<MemberProcess> listed) throws IOException {
        JsonArray addresses = new JsonArray();
        for (MemberProcess other : listed) {
            int port = other == member ? other.clusterPort : link(member, other).port();
            addresses.add(new JsonObject().put("name", other.name).put("address", HOST + ":" + port));
        }
        JsonObject cluster = settings.copy()
                .put("cluster", "test")
                .put("name", member.name)
                .put("listen", HOST + ":" + member.clusterPort)
                .put("data", member.dataFolder.toString())
                .put("members", addresses);
        member.clusterConfig = Files.writeString(folder.resolve("cluster-" + member.name + ".json"), cluster.encode());
        Files.writeString(
                member.directorConfig, directorConfig(member.clientAddress()).encode());
    }

    private static JsonObject directorConfig(String listen) throws IOException {
        JsonObject config = ExampleConfig.json().put("listen", listen).put("peers", new JsonArray());
        config.remove("feed");
        config.remove("peer_listen");
        // An endpoint list that has changed before: no warm-up.
        config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .put("seq", 1);
        return config;
    }

    /** Replaces the directors' usual configurations. */
    void configureDirectors(Function<MemberProcess, JsonObject> config) throws IOException {
        for (MemberProcess member : members) {
            Files.writeString(member.directorConfig, config.apply(member).encode());
        }
    }

    /** Lays the data folder of each member. */
    void initFolders() throws Exception {
        for (MemberProcess member : members) {
            initFolder(member);
        }
    }

    void initFolder(MemberProcess member) throws Exception {
        assertEquals(0, runCommand("cluster", "init", member.clusterConfig.toString()));
    }

    /** Runs the program's command line as a process and returns its exit code; its output is added to the log. */
    int runCommand(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        process.inputReader().lines().forEach(line -> log.add("line " + line));
        return process.waitFor();
    }

    void start() throws IOException {
        for (MemberProcess member : members) {
            member.start();
        }
    }

    Relay link(MemberProcess from, MemberProcess to) {
        return links.get(linkName(from, to));
    }

    /** {@code receives}, {@code sends}: whether what the others send still comes in, and what it sends still goes out. */
    void partition(MemberProcess member, boolean receives, boolean sends) {
        for (MemberProcess other : members) {
            if (other != member) {
                link(member, other).cut(!sends, !receives);
                link(other, member).cut(!receives, !sends);
            }
        }
    }

    void healLinks() {
        links.values().forEach(Relay::heal);
    }

    static void await(String what, Supplier<Boolean> condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!condition.get()) {
            assertTrue(System.nanoTime() < end, "never came: " + what);
            Thread.sleep(20);
        }
    }

    /** A member that leads, as a majority has just confirmed; null if none does. */
    MemberProcess leader(List<MemberProcess> candidates) {
        for (MemberProcess member : candidates) {
            if (confirmedStatus(member) != null) {
                return member;
            }
        }
        return null;
    }

    /** The status of a leader whom a majority has just confirmed; null if nobody is one, or it is not known in time. */
    JsonObject confirmedStatus(List<MemberProcess> candidates) {
        for (MemberProcess member : candidates) {
            JsonObject status = confirmedStatus(member);
            if (status != null) {
                return status;
            }
        }
        return null;
    }

    private static JsonObject confirmedStatus(MemberProcess member) {
        JsonObject status = member.isRunning() ? member.status() : null;
        return status != null && status.getBoolean("open") && status.getBoolean("confirmed") ? status : null;
    }

    MemberProcess awaitLeader(List<MemberProcess> candidates) throws InterruptedException {
        MemberProcess[] leader = new MemberProcess[1];
        await("a leader among " + names(candidates), () -> (leader[0] = leader(candidates)) != null);
        return leader[0];
    }

    static List<String> names(List<MemberProcess> members) {
        return members.stream().map(member -> member.name).toList();
    }

    /** Asks the leader; false if there is none or it rejects the call. */
    boolean postToLeader(List<MemberProcess> candidates, String path, JsonObject body) {
        MemberProcess leader = leader(candidates);
        return leader != null && leader.post(path, body.encode());
    }

    /** Whether the leader among the candidates lists a member: as a voter, or else as one that may still be learning. */
    boolean isListed(List<MemberProcess> candidates, MemberProcess member, boolean asVoter) {
        JsonObject status = confirmedStatus(candidates);
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .anyMatch(listed -> listed.getString("name").equals(member.name)
                                && (listed.getBoolean("voter") || !asVoter));
    }

    /** Who holds a lease and has renewed it, as its holder itself says; null if nobody does. */
    MemberProcess leaseHolder(String lease, List<MemberProcess> candidates) {
        for (MemberProcess member : candidates) {
            JsonObject status = member.process.isAlive() ? member.status() : null;
            if (status != null && status.getBoolean("open") && holdsLease(status, lease)) {
                return member;
            }
        }
        return null;
    }

    private static boolean holdsLease(JsonObject status, String lease) {
        return status.getJsonArray("duties").stream()
                .map(JsonObject.class::cast)
                .anyMatch(listed -> listed.getString("duty").equals(lease)
                        && listed.getValue("left_ms") instanceof Number left
                        && left.longValue() > 0);
    }

    MemberProcess awaitLeaseHolder(String lease, List<MemberProcess> candidates) throws InterruptedException {
        MemberProcess[] holder = new MemberProcess[1];
        await("a holder of " + lease, () -> (holder[0] = leaseHolder(lease, candidates)) != null);
        return holder[0];
    }

    /** All members but these. */
    List<MemberProcess> except(MemberProcess... excluded) {
        List<MemberProcess> rest = new ArrayList<>(members);
        rest.removeAll(List.of(excluded));
        return rest;
    }

    boolean logged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    /** All that the members logged, for a message. */
    String logText() {
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
        members.forEach(member -> {
            if (member.process != null) {
                member.process.destroyForcibly();
            }
        });
        vertx.close();
    }
}
