package pewtercourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pewtercourse.GoldenText.assertRecorded;
import static pewtercourse.cluster.ClusterProcesses.await;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.ExampleConfig;
import pewtercourse.GoldenText;
import pewtercourse.emulator.Emulation;

/**
 * Compares the operators' HTTP interface with golden files: paths and methods, response statuses, JSON keys and metric
 * names. Directors run as processes of the program, so that the test uses only their external interface.
 */
class OperatorInterfaceCompatibilityTest {
    private static final List<String> PATHS = List.of(
            "/",
            "/status",
            "/status/",
            "/status/metrics",
            "/maintenance",
            "/maintenance/enter",
            "/maintenance/exit",
            "/standby",
            "/active",
            "/reload",
            "/cluster",
            "/cluster/",
            "/cluster/status",
            "/cluster/hand-on",
            "/cluster/transfer",
            "/cluster/add",
            "/cluster/remove",
            "/cluster/unknown",
            "/sites",
            "/sites/",
            "/sites/status",
            "/sites/drill",
            "/sites/hold",
            "/sites/release",
            "/sites/unknown",
            "/unknown");
    private static final Set<String> STATE_CHANGING_PATHS =
            Set.of("/standby", "/active", "/reload", "/cluster/transfer", "/cluster/remove");
    private static final String CACHE = "s-00000001";
    private static final String OTHER_CACHE = "s-00000002";
    private static final int MAX_BODY_BYTES = 4_096;

    @TempDir
    Path folder;

    private final StringBuilder report = new StringBuilder();
    private ClusterProcesses cluster;
    private Emulation emulation;

    @AfterEach
    void stop() throws Exception {
        if (emulation != null) {
            emulation.stopClients();
            emulation.close();
        }
        cluster.close();
    }

    /** Starts a director without a cluster configuration. */
    private MemberProcess startStandalone() throws Exception {
        cluster = new ClusterProcesses("interfaces-alone", folder, 1, ClusterProcesses.settings(new JsonObject()));
        MemberProcess standalone = cluster.members.get(0);
        cluster.environment.put("GW_CLUSTER", "");
        standalone.start();
        await("director serves", () -> serves(standalone));
        return standalone;
    }

    private static boolean serves(MemberProcess member) {
        try {
            return member.call("GET /status", "").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void pathsAndMetricsOfADirectorWithoutACluster() throws Exception {
        MemberProcess standalone = startStandalone();
        recordMetrics("alone", standalone);
        recordMethods(standalone);
        for (String body :
                List.of("", "x", "[]", "{}", "{\"target\":1}", "{\"target\":\"\"}", "{\"target\":\"s-9\"}")) {
            record(standalone, "POST", "/maintenance/enter", body);
            record(standalone, "POST", "/maintenance/exit", body);
        }
        String target = new JsonObject().put("target", CACHE).encode();
        for (String path : List.of("/maintenance/enter", "/maintenance/enter", "/maintenance/exit")) {
            record(standalone, "POST", path, target);
        }
        record(standalone, "POST", "/standby", "x".repeat(MAX_BODY_BYTES));
        record(standalone, "POST", "/active", "x".repeat(MAX_BODY_BYTES + 1));
        record(standalone, "POST", "/active", "");
        record(standalone, "POST", "/reload", "");
        Path file = folder.resolve("config-" + standalone.name + ".json");
        Files.writeString(file, ExampleConfig.json().put("feed", "nowhere").encode());
        record(standalone, "POST", "/reload", "");
        report.append("nonsense: ").append(send(standalone, "nonsense\r\n\r\n").replace("\r\n", "|"));
        assertRecorded("operators-alone.txt", report.toString());
    }

    @Test
    void pathsKeysAndMetricsOfAClusterMember() throws Exception {
        startCluster();
        MemberProcess leader = cluster.awaitLeader(cluster.members);
        MemberProcess follower = cluster.except(leader).get(0);
        recordMetrics("leader", leader);
        recordMetrics("follower", follower);
        recordMethods(leader);
        recordRejectedCalls(leader);
        await("cache drained", () -> leader.enterMaintenance(CACHE));
        assertEquals(503, status(leader.call("POST /maintenance/enter", target(OTHER_CACHE))));
        recordJsonShapes();
        recordCommittedCall(leader, "/maintenance/enter", target(CACHE));
        record(leader, "POST", "/maintenance/enter", target(OTHER_CACHE));
        recordCommittedCall(leader, "/maintenance/exit", target(OTHER_CACHE));
        recordCommittedCall(leader, "/maintenance/exit", target(CACHE));
        recordCommittedCall(leader, "/sites/hold", named("s1"));
        recordCommittedCall(leader, "/sites/release", named("s1"));
        record(leader, "POST", "/standby", "");
        record(leader, "GET", "/status", "");
        record(leader, "POST", "/active", "");
        record(leader, "POST", "/reload", "");
        assertRecorded("operators-member.txt", report.toString());
    }

    private void startCluster() throws Exception {
        cluster = new ClusterProcesses(
                "interfaces",
                folder,
                3,
                ClusterProcesses.settings(new JsonObject()
                        .put("maintenance", new JsonObject().put("most", 1).put("out_most_ms", 60_000))
                        .put("quota", new JsonObject().put("reserve", 0.5).put("loan_ms", 500))));
        List<Emulation.SiteSpec> specs = new ArrayList<>();
        for (MemberProcess member : cluster.members) {
            List<String> directors = new ArrayList<>(List.of(member.clientAddress()));
            cluster.except(member).forEach(other -> directors.add(other.clientAddress()));
            specs.add(new Emulation.SiteSpec("s" + member.number, 2, 6, 20, directors));
        }
        emulation = new Emulation(specs, 7);
        cluster.configureDirectors(
                member -> emulation.config(member.name, "s" + member.number, member.clientAddress()));
        Path sites = folder.resolve("sites.json");
        Files.writeString(sites, sites().encode());
        cluster.environment.put("GW_SITES", sites.toString());
        CompletableFuture<?>[] initialized = cluster.members.stream()
                .map(member -> CompletableFuture.runAsync(() -> initFolder(member)))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(initialized).join();
        cluster.start();
        for (String lease : List.of("maintenance", "quota", "sites")) {
            cluster.awaitLeaseHolder(lease, cluster.members);
        }
        await(
                "all directors serve",
                () -> cluster.members.stream().allMatch(OperatorInterfaceCompatibilityTest::serves));
        emulation.startClients();
        await(
                "failover plan for the load of clients",
                () -> cluster.members.stream().allMatch(member -> {
                    JsonObject site = member.site("s0");
                    return site != null && !site.getJsonArray("takers").isEmpty();
                }));
    }

    private void initFolder(MemberProcess member) {
        try {
            cluster.initFolder(member);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private JsonObject sites() {
        JsonArray sites = new JsonArray();
        for (MemberProcess member : cluster.members) {
            JsonArray takers = new JsonArray();
            cluster.except(member).forEach(other -> takers.add(new JsonObject().put("site", "s" + other.number)));
            sites.add(new JsonObject()
                    .put("name", "s" + member.number)
                    .put("directors", new JsonArray().add(member.name))
                    .put("capacity", 12)
                    .put("takers", takers));
        }
        return new JsonObject().put("sites", sites);
    }

    private void recordRejectedCalls(MemberProcess member) throws IOException {
        for (String path : PATHS.stream()
                .filter(path -> path.matches("/(cluster|sites)/.+"))
                .toList()) {
            if (!path.equals("/cluster/transfer")) { // A valid call even without a body.
                record(member, "POST", path, "");
            }
            record(member, "POST", path, "x");
        }
        record(
                member,
                "POST",
                "/cluster/hand-on",
                new JsonObject().put("duty", "unknown").encode());
        record(
                member,
                "POST",
                "/cluster/transfer",
                new JsonObject().put("to", "d9").encode());
        record(member, "POST", "/cluster/add", named("d9"));
        record(member, "POST", "/cluster/remove", named("d9"));
        for (String call : List.of("drill", "hold", "release")) {
            record(member, "POST", "/sites/" + call, named("s9"));
        }
    }

    /**
     * Records a call that a majority has to commit. Repeats it while the commit takes longer than the timeout of a
     * call.
     */
    private void recordCommittedCall(MemberProcess member, String path, String body) throws Exception {
        await(path + " committed", () -> {
            try {
                return status(member.call("POST " + path, body)) != 503;
            } catch (IOException e) {
                return false;
            }
        });
        record(member, "POST", path, body);
    }

    /** Records the JSON keys of all members together: values that only a lease holder knows are null at the others. */
    private void recordJsonShapes() throws Exception {
        List<JsonObject> statuses = new ArrayList<>();
        List<JsonObject> sites = new ArrayList<>();
        await("statuses with a leader, lease holders and a plan", () -> {
            statuses.clear();
            sites.clear();
            try {
                for (MemberProcess member : cluster.members) {
                    statuses.add(json(member.call("GET /cluster/status", "")));
                    sites.add(json(member.call("GET /sites/status", "")));
                }
            } catch (IOException e) {
                return false;
            }
            String allStatuses = statuses + " " + sites;
            return allStatuses.contains("\"confirmed\":true")
                    && allStatuses.contains("\"most\":")
                    && allStatuses.matches("(?s).*left_ms\":\\d.*");
        });
        report.append("GET /cluster/status\n").append(GoldenText.shape(Set.of("out"), statuses));
        report.append("GET /sites/status\n").append(GoldenText.shape(Set.of(), sites));
    }

    private static JsonObject json(String answer) {
        return new JsonObject(answer.substring(answer.indexOf("\r\n\r\n") + 4));
    }

    private void recordMetrics(String label, MemberProcess member) throws IOException {
        String answer = member.call("GET /status/metrics", "");
        report.append("metrics of ").append(label).append(": ");
        report.append(answer.substring(answer.indexOf("\r\n\r\n") + 4)
                .lines()
                .map(line -> line.replaceFirst("=\\d+$", "=N"))
                .collect(Collectors.joining(" ")));
        report.append('\n');
    }

    /** Records each path with each method, except calls that would change the state. */
    private void recordMethods(MemberProcess member) throws IOException {
        for (String path : PATHS) {
            for (String method : List.of("GET", "POST", "PUT", "DELETE", "HEAD")) {
                if (!method.equals("POST") || !STATE_CHANGING_PATHS.contains(path)) {
                    record(member, method, path, "");
                }
            }
        }
    }

    private void record(MemberProcess member, String method, String path, String body) throws IOException {
        String answer = member.call(method + " " + path, body);
        int status = status(answer);
        int headLength = answer.indexOf("\r\n\r\n");
        String text = answer.substring(headLength + 4).strip();
        report.append(method).append(' ').append(path).append(' ');
        report.append(body.length() > 99 ? body.length() + " bytes" : body)
                .append(" -> ")
                .append(status);
        for (String line : answer.substring(0, headLength).split("\r\n")) {
            if (line.toLowerCase().matches("(allow|content-type|connection): .*")) {
                report.append(' ').append(line);
            }
        }
        // Reasons are text for people and may change; scripts read the other bodies.
        boolean isReason = status == 409 || status == 422 || status == 503 && !path.equals("/status");
        boolean hasVaryingValues =
                status == 200 && (path.endsWith("/status") && text.startsWith("{") || path.endsWith("/metrics"));
        report.append(" [")
                .append(isReason ? "a reason" : hasVaryingValues ? "values" : text)
                .append("]\n");
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.substring(9, 12));
    }

    private static String target(String cache) {
        return new JsonObject().put("target", cache).encode();
    }

    private static String named(String name) {
        return new JsonObject().put("name", name).encode();
    }

    private static String send(MemberProcess member, String text) throws IOException {
        try (Socket socket = new Socket(ClusterProcesses.HOST, member.adminPort)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
