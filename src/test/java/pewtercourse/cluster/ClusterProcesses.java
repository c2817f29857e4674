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

/** Runs directors as processes of the program, with a relay on each link between two of them. */
final class ClusterProcesses implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    // Much longer than any condition takes, so that only a condition that is never met times out.
    private static final long AWAIT_TIMEOUT_MS = 90_000;

    final List<MemberProcess> members = new ArrayList<>();
    final Map<String, String> environment = new ConcurrentHashMap<>(); // Additional variables for each member.
    final Queue<String> log = new ConcurrentLinkedQueue<>(); // Reader threads append while a test reads.
    private final String name;
    private final Path folder;
    private final JsonObject settings;
    private final Vertx vertx = Vertx.vertx();
    private final Map<String, Relay> links = new ConcurrentHashMap<>();

    /** Returns settings for {@code cluster.json} with these leases, and with short times to keep tests fast. */
    static JsonObject settings(JsonObject leases) {
        return new JsonObject()
                .put("heartbeat_ms", 40)
                .put("election_ms", new JsonArray().add(250).add(500))
                .put("lease_ms", 1_000)
                .put("drift", 0.01)
                .put("duties", leases);
    }

    /**
     * Writes the configuration files of a cluster without starting it.
     *
     * @param name     the name of the file in target/fault-logs for the log of all members
     * @param settings the settings in cluster.json that are the same for all members
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

    /** Creates a process that is not added to the members. */
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

    /**
     * Adds members without starting them. Their files list all members; the files of the other members do not change.
     */
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

    /** Writes the files of a member, which list {@code listed} as the members of the cluster. */
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
        // A sequence number of 1 stands for a list that has changed before, which shortens the warm-up.
        config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .put("seq", 1);
        return config;
    }

    /** Replaces the default configurations of the directors. */
    void configureDirectors(Function<MemberProcess, JsonObject> config) throws IOException {
        for (MemberProcess member : members) {
            Files.writeString(member.directorConfig, config.apply(member).encode());
        }
    }

    /** Initializes the data folder of each member. */
    void initFolders() throws Exception {
        for (MemberProcess member : members) {
            initFolder(member);
        }
    }

    void initFolder(MemberProcess member) throws Exception {
        assertEquals(0, runCommand("cluster", "init", member.clusterConfig.toString()));
    }

    /** Runs a command of the program as a process and returns its exit code; the output is appended to the log. */
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

    /** Cuts the links of a member, except in the directions in which it still {@code receives} or {@code sends}. */
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

    static void await(String description, Supplier<Boolean> condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.get()) {
            assertTrue(System.nanoTime() < deadlineNanos, "timed out waiting for: " + description);
            Thread.sleep(20);
        }
    }

    /** Returns a member whose leadership a majority has just confirmed; null if there is none. */
    MemberProcess leader(List<MemberProcess> candidates) {
        for (MemberProcess member : candidates) {
            if (confirmedStatus(member) != null) {
                return member;
            }
        }
        return null;
    }

    /**
     * Returns the status of a leader that a majority has just confirmed; null if there is none or the call times out.
     */
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
        await("leader among " + names(candidates), () -> (leader[0] = leader(candidates)) != null);
        return leader[0];
    }

    /** Waits until the directors have warmed up and serve clients. */
    static void awaitServing(List<MemberProcess> directors) throws InterruptedException {
        await(
                "directors " + names(directors) + " serve",
                () -> directors.stream().allMatch(MemberProcess::isServing));
    }

    static List<String> names(List<MemberProcess> members) {
        return members.stream().map(member -> member.name).toList();
    }

    /** Sends a call to the leader; returns false if there is no leader or it rejects the call. */
    boolean postToLeader(List<MemberProcess> candidates, String path, JsonObject body) {
        MemberProcess leader = leader(candidates);
        return leader != null && leader.post(path, body.encode());
    }

    /** Returns whether the leader among the candidates lists a member; with {@code asVoter}, whether as a voter. */
    boolean isListed(List<MemberProcess> candidates, MemberProcess member, boolean asVoter) {
        JsonObject status = confirmedStatus(candidates);
        return status != null
                && status.getJsonArray("members").stream()
                        .map(JsonObject.class::cast)
                        .anyMatch(listed -> listed.getString("name").equals(member.name)
                                && (listed.getBoolean("voter") || !asVoter));
    }

    /** Returns the member that reports a valid lease of its own; null if there is none. */
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
        await("holder of lease " + lease, () -> (holder[0] = leaseHolder(lease, candidates)) != null);
        return holder[0];
    }

    /** Returns all members except these. */
    List<MemberProcess> except(MemberProcess... excluded) {
        List<MemberProcess> remaining = new ArrayList<>(members);
        remaining.removeAll(List.of(excluded));
        return remaining;
    }

    boolean logged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    /** Returns the log of all members, for assertion messages. */
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
