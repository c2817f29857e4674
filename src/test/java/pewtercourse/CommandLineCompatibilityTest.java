package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static pewtercourse.GoldenText.assertRecorded;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.AnnotatedElement;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.Option;

/**
 * Guards what scripts depend on: sub-commands, their options and parameters, the requests that they send to a director,
 * and exit codes.
 */
class CommandLineCompatibilityTest {
    private static final String HOST = "127.0.0.1";
    private static final long PROCESS_TIMEOUT_SECONDS = 90;
    private static final int[] STATUSES = {200, 400, 404, 405, 409, 500, 503};

    @TempDir
    Path folder;

    private final PrintStream standardOutput = System.out;
    private final PrintStream standardError = System.err;
    private final StringBuilder report = new StringBuilder();
    private HttpServer director;
    private int status;
    private String answer = "";
    private String received = "";

    @BeforeEach
    void startDirectorStub() throws IOException {
        System.setOut(new PrintStream(new ByteArrayOutputStream()));
        System.setErr(new PrintStream(new ByteArrayOutputStream()));
        director = HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), 0), 0);
        director.createContext("/", exchange -> {
            byte[] body = exchange.getRequestBody().readAllBytes();
            received = exchange.getRequestMethod() + " " + exchange.getRequestURI() + " "
                    + new String(body, StandardCharsets.UTF_8);
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        director.start();
    }

    @AfterEach
    void stopDirectorStub() {
        director.stop(0);
        System.setOut(standardOutput);
        System.setErr(standardError);
    }

    @Test
    void commandsOptionsAndParametersMatchTheRecordedOnes() throws Exception {
        describe("", new picocli.CommandLine(CommandLine.class).getCommandSpec());
        assertTrue(report.toString().contains("experiment duties"), report.toString());
        assertRecorded("commands.txt", report.toString());
    }

    private void describe(String parents, CommandSpec command) {
        String path = (parents + " " + command.name()).strip();
        report.append(path).append(" aliases=").append(Arrays.toString(command.aliases()));
        report.append(" runs=")
                .append(command.userObject() instanceof java.util.concurrent.Callable
                        || command.userObject() instanceof java.lang.reflect.Method)
                .append('\n');
        Map<String, OptionSpec> options = new TreeMap<>();
        command.options().forEach(option -> options.put(option.longestName(), option));
        options.values()
                .forEach(option -> report.append("  option ")
                        .append(Arrays.toString(option.names()))
                        .append(describe(option))
                        .append('\n'));
        for (PositionalParamSpec parameter : command.positionalParameters()) {
            report.append("  parameter ")
                    .append(parameter.index())
                    .append(describe(parameter))
                    .append('\n');
        }
        new TreeMap<>(command.subcommands()).values().forEach(sub -> describe(path, sub.getCommandSpec()));
    }

    private static String describe(ArgSpec argument) {
        return " arity=" + argument.arity()
                + " required=" + argument.required()
                + " default=" + defaultValue(argument)
                + " type=" + argument.type().getSimpleName()
                + Arrays.stream(argument.auxiliaryTypes())
                        .map(Class::getSimpleName)
                        .toList();
    }

    /** The default value as declared: an environment variable is given by its name. */
    private static String defaultValue(ArgSpec argument) {
        AnnotatedElement declaration = (AnnotatedElement) argument.userObject();
        Option option = declaration.getAnnotation(Option.class);
        return option != null ? option.defaultValue() : argument.defaultValue();
    }

    // ---- Exit codes ----

    @Test
    void usageErrorsHaveTheRecordedExitCodes() throws Exception {
        for (String line : List.of(
                "",
                "--help",
                "--version",
                "nonsense",
                "--nonsense",
                "cluster",
                "cluster --help",
                "cluster nonsense",
                "cluster status --admin",
                "cluster status --admin=",
                "cluster status --admin= --nonsense",
                "cluster status --admin=nowhere:0x",
                "cluster hand-on --admin=",
                "cluster hand-on --admin= maintenance",
                "cluster transfer --admin= member",
                "cluster add --admin= d4",
                "cluster remove --admin=",
                "cluster init",
                "cluster inspect",
                "sites",
                "sites status --admin=",
                "sites plan --admin=",
                "sites drill --admin=",
                "sites hold --admin=",
                "sites release --admin=",
                "emulate",
                "emulate no/such/file",
                "experiment",
                "experiment duties --seeds x",
                "experiment sites --seeds x",
                "experiment start",
                "experiment start nonsense")) {
            run(line.isEmpty() ? new String[0] : line.split(" "));
        }
        assertRecorded("exit-codes-usage.txt", report.toString());
    }

    @Test
    void commandsOnFoldersAndFilesHaveTheRecordedExitCodes() throws Exception {
        JsonObject file = new JsonObject(Files.readString(Path.of("deploy/cluster.json")));
        Path data = folder.resolve("data");
        Path validFile = Files.writeString(
                folder.resolve("good"), file.copy().put("data", data.toString()).encode());
        Path fileWithUnknownKey = Files.writeString(
                folder.resolve("wrong"), file.copy().put("colour", "red").encode());
        Path malformedFile = Files.writeString(folder.resolve("broken"), "{");
        Path scenario = Files.writeString(folder.resolve("scenario"), "{}");
        for (List<String> line : List.of(
                List.of("cluster init ", folder.resolve("missing").toString()),
                List.of("cluster init ", malformedFile.toString()),
                List.of("cluster init ", fileWithUnknownKey.toString()),
                List.of("cluster inspect ", data.toString()),
                List.of("cluster init ", validFile.toString()),
                List.of("cluster init ", validFile.toString()),
                List.of("cluster inspect ", data.toString()),
                List.of("emulate ", scenario.toString()),
                List.of("emulate ", malformedFile.toString()))) {
            run((line.get(0) + line.get(1)).split(" "));
        }
        assertRecorded("exit-codes-files.txt", report.toString().replace(folder.toString(), "FOLDER"));
    }

    @Test
    void eachDirectorResponseHasTheRecordedExitCode() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            CompletableFuture<Integer> unanswered = CompletableFuture.supplyAsync(
                    () -> CommandLine.run("cluster", "status", "--admin", HOST + ":" + silent.getLocalPort()));
            for (String line : List.of(
                    "cluster hand-on maintenance",
                    "cluster hand-on maintenance --to d2",
                    "cluster transfer",
                    "cluster transfer --to d2",
                    "cluster add d4 127.0.0.1:7004",
                    "cluster remove d4",
                    "sites drill edge-1",
                    "sites hold edge-1",
                    "sites release edge-1")) {
                for (int givenStatus : STATUSES) {
                    call(line, givenStatus, "text");
                }
            }
            callClusterStatus();
            callSites();
            int closedPort;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                closedPort = free.getLocalPort();
            }
            report.append("refused: ")
                    .append(CommandLine.run("cluster", "transfer", "--admin", HOST + ":" + closedPort))
                    .append("\nunanswered: ")
                    .append(unanswered.get(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .append('\n');
        }
        assertRecorded("exit-codes-answers.txt", report.toString());
    }

    private void callClusterStatus() {
        JsonObject member = new JsonObject()
                .put("name", "d1")
                .put("voter", true)
                .put("lag", 1)
                .put("heard", false);
        JsonObject duty =
                new JsonObject().put("duty", "quota").put("holder", "").put("token", 3);
        JsonObject ticket = new JsonObject()
                .put("target", "s-1")
                .put("zone", "edge-1")
                .put("by", "d1")
                .put("out", false);
        JsonObject withLeader = new JsonObject()
                .put("cluster", "c")
                .put("name", "d1")
                .put("open", true)
                .put("role", "leader")
                .put("leader", "d1")
                .put("term", 1)
                .put("commit", 1)
                .put("applied", 1)
                .put("snapshot", 0)
                .put("confirmed", true)
                .put("members", new JsonArray().add(member))
                .put("duties", new JsonArray().add(duty))
                .put("out", new JsonObject().put("s-2", 1))
                .put("tickets", new JsonArray().add(ticket));
        JsonObject leaderless = withLeader.copy().putNull("leader").put("confirmed", false);
        JsonObject notOpen =
                new JsonObject().put("cluster", "c").put("name", "d1").put("open", false);
        for (String line : List.of("cluster status", "cluster status --output json", "cluster status --output x")) {
            for (JsonObject body : List.of(withLeader, leaderless, notOpen)) {
                call(line, 200, body.encode());
            }
            call(line, 404, "no such path");
            call(line, 500, "failed");
        }
    }

    private void callSites() {
        JsonObject taker = new JsonObject().put("site", "b").put("work", 1.5).put("most", 2.5);
        JsonObject site = new JsonObject()
                .put("site", "a")
                .put("phase", "whole")
                .put("health", "well")
                .put("step", 0)
                .put("held", false)
                .put("drill", false)
                .put("load", 1.5)
                .put("capacity", 20.0)
                .put("spare", 5.0)
                .put("takers", new JsonArray().add(taker))
                .put("refused", 0.0);
        JsonObject planned = new JsonObject()
                .put("controller", "d1")
                .put("leader", "d1")
                .put("planned", 3)
                .put("sites", new JsonArray().add(site));
        JsonObject lost = planned.copy();
        lost.getJsonArray("sites").getJsonObject(0).put("phase", "lost").put("refused", 2.0);
        JsonObject leaderless =
                planned.copy().putNull("leader").put("controller", "").put("planned", 0);
        for (String line : List.of(
                "sites status", "sites status --output json", "sites plan", "sites plan a", "sites plan unknown")) {
            for (JsonObject body : List.of(planned, lost, leaderless)) {
                call(line, 200, body.encode());
            }
            call(line, 404, "no such path");
            call(line, 500, "failed");
        }
    }

    private void call(String line, int givenStatus, String givenAnswer) {
        status = givenStatus;
        answer = givenAnswer;
        received = "nothing";
        List<String> words = new ArrayList<>(List.of(line.split(" ")));
        words.add("--admin=" + HOST + ":" + director.getAddress().getPort());
        int code = CommandLine.run(words.toArray(String[]::new));
        report.append(line)
                .append(" -> ")
                .append(received.strip())
                .append(" -> ")
                .append(givenStatus)
                .append(" -> exit ")
                .append(code)
                .append('\n');
    }

    private void run(String... words) {
        report.append(String.join(" ", words))
                .append(" -> exit ")
                .append(CommandLine.run(words))
                .append('\n');
    }

    // ---- The program as a process ----

    @Test
    void processesHaveTheRecordedExitCodes() throws Exception {
        Path unusable = Files.writeString(folder.resolve("unusable.json"), "{}");
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            JsonObject config = ExampleConfig.json().put("listen", HOST + ":" + taken.getLocalPort());
            config.remove("feed");
            Path occupied = Files.writeString(folder.resolve("occupied.json"), config.encode());
            Map<String, Process> processes = new TreeMap<>();
            processes.put("no arguments", start(null, ""));
            processes.put("--version", start(null, "", "--version"));
            processes.put("benchlink, malformed input", start(null, "nonsense\n", "benchlink"));
            processes.put("benchlink, no input", start(null, "", "benchlink"));
            processes.put("rehearse, no such file", start(null, "", "rehearse", "no/such/file"));
            processes.put("rehearse, two arguments", start(null, "", "rehearse", "one", "two"));
            processes.put("serve, address taken", start(occupied, "", "serve"));
            processes.put("serve, no configuration", start(null, "", "serve"));
            processes.put("serve, unusable configuration", start(unusable, "", "serve"));
            processes.put("serve, with an argument", start(unusable, "", "serve", "now"));
            for (Map.Entry<String, Process> process : processes.entrySet()) {
                assertTrue(process.getValue().waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS), process.getKey());
                report.append(process.getKey())
                        .append(" -> exit ")
                        .append(process.getValue().exitValue())
                        .append('\n');
            }
        }
        assertRecorded("exit-codes-programs.txt", report.toString());
    }

    private Process start(Path config, String input, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main"));
        command.addAll(List.of(words));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(File.createTempFile("output", "", folder.toFile()));
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        if (config != null) {
            builder.environment().put("GW_CONFIG", config.toString());
        }
        Process process = builder.start();
        try (var processInput = process.getOutputStream()) {
            processInput.write(input.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // The process ended without reading its input.
        }
        return process;
    }
}
