package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.config.SitesConfig;
import pewtercourse.front.fastcgi.RawFrontClient;

/**
 * Runs the examples as described in their headers and README, in a copy of the tree that listens on its own loopback
 * address. The packaged program is built after the tests, so a stand-in for {@code java} starts the classes under test
 * instead.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ExamplesTest {
    // Far longer than any step takes, so that only a step that never ends fails a test.
    private static final int STEP_TIMEOUT_SECONDS = 60;
    private static final int POLL_INTERVAL_MS = 50;
    private static final int HTTP_OK = 200;
    private static final int EMULATION_SECONDS = 2;
    private static final String JAR = "target/pewtercourse.jar";
    private static final AtomicInteger TESTS = new AtomicInteger();
    private static final int ADDRESS_STEP = 25;
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

    @TempDir
    Path folder;

    private final List<Process> started = new ArrayList<>();
    private String host;

    @BeforeEach
    void copyExamples() throws IOException {
        // The examples use fixed ports. An address for each test process lets two builds run at once, and one for each
        // test keeps a test apart from directors of an earlier one that still shut down.
        long pid = ProcessHandle.current().pid();
        long secondByte = 100 + (pid / 250 / 250 + TESTS.getAndIncrement() * ADDRESS_STEP) % 100;
        host = "127." + secondByte + "." + pid / 250 % 250 + "." + (1 + pid % 250);
        for (String name : List.of("examples", "deploy")) {
            Files.createDirectories(folder.resolve(name));
            for (File file : Path.of(name).toFile().listFiles(File::isFile)) {
                String text = Files.readString(file.toPath()).replace("127.0.0.1", host);
                Files.writeString(folder.resolve(name).resolve(file.getName()), text);
            }
        }
        Path standIn = Files.createDirectories(folder.resolve("bin")).resolve("java");
        Files.writeString(standIn, """
                #!/bin/bash
                arguments=()
                for argument; do
                  case $argument in
                    -jar) ;;
                    %s) arguments+=(-cp "$CLASSES_UNDER_TEST" pewtercourse.Main) ;;
                    *) arguments+=("$argument") ;;
                  esac
                done
                exec %s -XX:TieredStopAtLevel=1 "${arguments[@]}"
                """.formatted(JAR, JAVA));
        assertTrue(standIn.toFile().setExecutable(true));
    }

    @AfterEach
    void killProcesses() throws InterruptedException {
        for (Process process : started) {
            List<ProcessHandle> children = process.descendants().toList();
            process.destroyForcibly().waitFor();
            children.forEach(ProcessHandle::destroyForcibly);
        }
    }

    private Process start(Path output, Map<String, String> environment, String... command) throws IOException {
        List<String> words = new ArrayList<>(List.of(command));
        // ProcessBuilder looks up a program on the PATH of this process, not on that of the new one.
        words.replaceAll(
                word -> word.equals("java") ? folder.resolve("bin/java").toString() : word);
        ProcessBuilder builder = new ProcessBuilder(words)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        builder.environment()
                .remove("TMPDIR"); // In it, two processes of one director would share the operators' state.
        builder.environment().put("CLASSES_UNDER_TEST", System.getProperty("java.class.path"));
        builder.environment().merge("PATH", folder.resolve("bin") + ":", (path, firstEntry) -> firstEntry + path);
        builder.environment().putAll(environment);
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private String run(int exitCode, String... command) throws Exception {
        Path output = Files.createTempFile(folder, "output", ".txt");
        Process process = start(output, Map.of(), command);
        assertTrue(
                process.waitFor(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                () -> "still runs after " + STEP_TIMEOUT_SECONDS + " s: " + read(output));
        assertEquals(exitCode, process.exitValue(), () -> read(output));
        return read(output);
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            return "";
        }
    }

    private static void awaitText(Path file, String text) throws InterruptedException {
        for (int waitedMs = 0; !read(file).contains(text); waitedMs += POLL_INTERVAL_MS) {
            if (waitedMs > STEP_TIMEOUT_SECONDS * 1_000) {
                fail("no '" + text + "' in " + file + ":\n" + read(file));
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Removes the faults from the scenario and shortens it; the simulation of sites tests the effect of faults. */
    private void shortenScenario() throws IOException {
        Path scenario = folder.resolve("examples/site-loss.json");
        JsonObject json = new JsonObject(Files.readString(scenario));
        json.put("seconds", EMULATION_SECONDS).put("faults", new JsonArray());
        Files.writeString(scenario, json.encode());
    }

    @Test
    void sitesExampleGivesEachSiteTheCapacityOfItsEmulatedCaches() throws Exception {
        shortenScenario();
        Map<String, Double> expected = new TreeMap<>();
        new JsonObject(Files.readString(folder.resolve("examples/site-loss.json")))
                .getJsonArray("sites")
                .forEach(entry -> {
                    JsonObject site = (JsonObject) entry;
                    expected.put(
                            site.getString("name"), (double) site.getInteger("caches") * site.getInteger("capacity"));
                });

        String output = run(0, "bash", "examples/sites.sh");

        Map<String, Double> capacities = new TreeMap<>();
        SitesConfig.fromFile(folder.resolve("target/sites/sites.json"))
                .byName()
                .forEach((name, site) -> capacities.put(name, site.capacity()));
        assertEquals(expected, capacities);
        assertTrue(output.contains("all directors listen"), output);
        for (int i = 1; i <= 3; i++) {
            String log = read(folder.resolve("target/sites/d" + i + ".log"));
            assertTrue(log.contains(" director.listening ") && log.contains(" cluster.opened "), log);
        }
    }

    @Test
    void sitesExampleFailsWhenAKeyThatItReplacesIsRenamed() throws Exception {
        Path sites = folder.resolve("deploy/sites.json");
        Files.writeString(sites, Files.readString(sites).replace("\"capacity\"", "\"room\""));
        shortenScenario();
        assertTrue(run(1, "bash", "examples/sites.sh").contains("no longer has the capacities"));
    }

    @Test
    void clusterExampleAgreesOnAnOperatorsCall() throws Exception {
        start(folder.resolve("cluster.txt"), Map.of(), "bash", "examples/cluster.sh");
        for (int i = 1; i <= 3; i++) {
            Path log = folder.resolve("target/cluster/d" + i + ".log");
            awaitText(log, " director.listening ");
            awaitText(log, " cluster.leader ");
        }
        run(0, "java", "-jar", JAR, "cluster", "status", "--admin", host + ":9101");
        // Right after the start the maintenance lease has no holder yet and the call must be repeated.
        HttpRequest enter = HttpRequest.newBuilder(URI.create("http://" + host + ":9102/maintenance/enter"))
                .POST(HttpRequest.BodyPublishers.ofString("{\"target\":\"s-00000001\"}"))
                .build();
        int statusCode = 0;
        for (int calls = 0; statusCode != HTTP_OK && calls < STEP_TIMEOUT_SECONDS; calls++) {
            statusCode = HttpClient.newHttpClient()
                    .send(enter, HttpResponse.BodyHandlers.ofString())
                    .statusCode();
            Thread.sleep(POLL_INTERVAL_MS);
        }
        assertEquals(HTTP_OK, statusCode);
        JsonObject status = new JsonObject(
                run(0, "java", "-jar", JAR, "cluster", "status", "--admin", host + ":9101", "--output", "json"));
        assertTrue(status.getJsonObject("out").containsKey("s-00000001"), status::encode);
    }

    @Test
    void toySiteServesTheRequestFromTheReadme() throws Exception {
        Path toySite = folder.resolve("toy-site.txt");
        start(toySite, Map.of(), JAVA.toString(), "examples/ToySite.java", host);
        Path log = folder.resolve("director.log");
        start(log, Map.of("GW_CONFIG", "examples/config.json"), "java", "-jar", JAR, "serve");
        awaitText(toySite, "toy site: ");
        awaitText(log, " director.listening ");
        awaitText(log, " discovery.connected ");

        Map<String, String> parameters = readmeParameters();
        parameters.put("HTTP_X_DEADLINE_MS", "30000"); // A busy machine may need longer than the deadline in README.
        String answer = sendRequest(parameters);
        assertNotNull(answer, () -> read(log));
        assertTrue(answer.startsWith("Status: 200 OK"), answer);
        assertTrue(answer.contains("part of /"), answer);
    }

    private String sendRequest(Map<String, String> parameters) throws IOException {
        try (RawFrontClient client = new RawFrontClient(new InetSocketAddress(host, 8443))) {
            return client.write(RawFrontClient.request(1, parameters)).readAnswer();
        }
    }

    /** The NAME=VALUE pairs before {@code cgi-fcgi} in README. */
    private static Map<String, String> readmeParameters() {
        String readme = read(Path.of("README.md"));
        int end = readme.indexOf("cgi-fcgi -bind");
        int begin = readme.lastIndexOf("\n\n", end);
        Map<String, String> parameters = new TreeMap<>();
        Matcher pair = Pattern.compile("\\b([A-Z_]+)=(\\S+)").matcher(readme.substring(begin, end));
        while (pair.find()) {
            parameters.put(pair.group(1), pair.group(2));
        }
        parameters.remove("GW_CONFIG");
        return parameters;
    }
}
