package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.FastCgiClient;
import pewtercourse.front.fastcgi.RawFrontClient;

/** Runs the program as the platform does: as a process that is controlled by signals. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MainTest {
    // Its own address, so that no other program takes a free port between its lookup and its use.
    private static final String HOST = "127.83.17.5";

    private static final int MAX_DESCRIPTORS = 128;

    @TempDir
    Path folder;

    private Process process;
    private BufferedReader log;
    private JsonObject config;
    private Path configFile;

    @BeforeEach
    void startProcess() throws Exception {
        configFile = folder.resolve("config.json");
        config = ExampleConfig.json().put("feed", HOST + ":1");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            config.put("listen", HOST + ":" + free.getLocalPort());
        }
        config.put("limits", new JsonObject().put("sockets", MAX_DESCRIPTORS));
        Files.writeString(configFile, config.encode());
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main",
                "serve");
        builder.environment().put("GW_CONFIG", configFile.toString());
        builder.environment().remove("GW_LISTEN");
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader();
        // Kills the process so that a line that is never logged fails the test instead of blocking it. The delay is
        // far longer than any test takes: exhausting the descriptors alone takes half a minute.
        CompletableFuture.delayedExecutor(180, TimeUnit.SECONDS).execute(process::destroyForcibly);
        awaitEventLine("director.listening");
    }

    @AfterEach
    void killProcess() {
        process.destroyForcibly();
    }

    private String awaitEventLine(String event) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(event)) {
            line = log.readLine();
        }
        assertNotNull(line, "the process ended without logging " + event);
        return line;
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    void reloadsTheFileOnSighupAndKeepsTheConfigurationWhenTheFileIsInvalid() throws Exception {
        Files.writeString(configFile, config.copy().put("feed", "nowhere").encode());
        signal("HUP");
        assertTrue(awaitEventLine("config.kept").contains("key=feed:"));
        Files.writeString(
                configFile,
                config.put("feed", HOST + ":2").put("peer_listen", HOST + ":3").encode());
        signal("HUP");
        assertTrue(awaitEventLine("config.needs_restart").contains("keys=peer_listen"));
        assertTrue(awaitEventLine("discovery.moved").contains(HOST + ":2"));
        awaitEventLine("config.reloaded");
        assertTrue(process.isAlive());
    }

    @Test
    void keepsTheSettingsWhenTheReloadedFileIsTruncatedOrLacksAKey() throws Exception {
        JsonObject withoutDeadline = config.copy();
        withoutDeadline
                .getJsonObject("settings")
                .getJsonArray("Classes")
                .getJsonObject(0)
                .remove("Deadline");
        for (String invalidText : List.of("", config.encode().substring(0, 500), withoutDeadline.encode())) {
            Files.writeString(configFile, invalidText);
            signal("HUP");
            awaitEventLine("config.kept");
        }
        JsonObject nextConfig = config.copy();
        nextConfig
                .getJsonObject("settings")
                .getJsonArray("Classes")
                .add(new JsonObject()
                        .put("Name", "menu-v2")
                        .put("Effect", "pure")
                        .put("Aim", 400.0)
                        .put("Deadline", 3000.0)
                        .put("Worth", 1.0));
        Files.writeString(configFile, nextConfig.encode());
        signal("HUP");
        assertTrue(awaitEventLine("config.reloaded").contains("classes=menu-media,menu-page,menu-v2,place-order"));
    }

    @Test
    void keepsAcceptingAfterMoreConnectionsThanDescriptors() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        CompletableFuture.runAsync(() -> log.lines().forEach(lines::add)); // A full pipe would block the process.
        String[] hostAndPort = config.getString("listen").split(":");
        List<Socket> open = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < 3 * MAX_DESCRIPTORS; i++) {
                Socket socket = new Socket();
                open.add(socket);
                try {
                    socket.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])), 200);
                } catch (IOException e) {
                    // The listener's accept queue is full too.
                }
            }
            for (Socket socket : open) {
                socket.close();
            }
        }
        Vertx vertx = Vertx.vertx();
        String answer = "";
        // The director may pause for a second before it accepts again. If it never does, the timeout kills the process.
        while (!answer.startsWith("Status: 200") && process.isAlive()) {
            try {
                answer = FastCgiClient.connect(
                                vertx,
                                SocketAddress.inetSocketAddress(Integer.parseInt(hostAndPort[1]), hostAndPort[0]))
                        .compose(client -> client.send(Map.of("SCRIPT_NAME", "/alive")))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(3, TimeUnit.SECONDS)
                        .toString();
            } catch (Exception e) {
                // The request is repeated.
            }
        }
        vertx.close();
        assertTrue(
                answer.startsWith("Status: 200"),
                process.isAlive() ? "no longer accepts connections" : "ended:\n" + String.join("\n", lines));
    }

    @Test
    void exitsBeforeListeningWhenTheConfigurationIsInvalid() throws Exception {
        JsonObject invalidConfig = DirectorProcess.configWithoutFeed(HOST, HOST + ":1");
        invalidConfig
                .getJsonObject("settings")
                .getJsonArray("Classes")
                .getJsonObject(1)
                .put("Deadline", "soon");
        Path otherFolder = Files.createDirectory(folder.resolve("broken"));
        try (DirectorProcess director = DirectorProcess.start(otherFolder, invalidConfig, "")) {
            assertTrue(director.awaitEventLine("config.unusable").contains("key=Classes.1.Deadline:"));
            assertEquals(2, director.awaitExit(60));
            assertThrows(
                    IOException.class,
                    () -> new Socket(
                                    director.address().getAddress(),
                                    director.address().getPort())
                            .close());
        }
    }

    @Test
    void servesASingleSideEffectClassWhoseNameNeedsEscaping() throws Exception {
        CompletableFuture<String> requestLine = new CompletableFuture<>();
        ScriptedCache cache = new ScriptedCache(HOST, (socket, line, id) -> {
            requestLine.complete(line);
            ScriptedCache.respondWith("menu").respond(socket, line, id);
        });
        JsonObject nextConfig = DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort());
        nextConfig
                .getJsonObject("settings")
                .put(
                        "Classes",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("Name", "menú, día/2")
                                        .put("Effect", "side_effect")
                                        .put("Aim", 400.0)
                                        .put("Deadline", 3000.0)
                                        .put("Worth", 0.25)));
        Path otherFolder = Files.createDirectory(folder.resolve("odd"));
        try (DirectorProcess director = DirectorProcess.start(otherFolder, nextConfig, "")) {
            director.awaitEvent("director.listening");
            try (RawFrontClient client = new RawFrontClient(director.address())) {
                String answer = client.write(RawFrontClient.request(1, "menú, día/2", "00000000000000aa", 20_000))
                        .readAnswer();
                assertTrue(answer.startsWith("Status: 200"), answer);
            }
        }
        assertEquals(
                "GET /o/men%C3%BA,%20d%C3%ADa%2F2/7f3a9c21e0b4d655/0 HTTP/1.1", requestLine.get(30, TimeUnit.SECONDS));
        cache.close();
    }

    // As under nohup: the JVM doesn't handle an ignored signal, and nothing reported that.
    @Test
    void logsThatSighupIsIgnoredAndReloadsOnAnOperatorsCall() throws Exception {
        int adminPort = DirectorProcess.freePort(HOST);
        JsonObject nextConfig =
                DirectorProcess.configWithoutFeed(HOST, HOST + ":1").put("feed", HOST + ":1");
        nextConfig.put("admin_addr", HOST + ":" + adminPort);
        Path otherFolder = Files.createDirectory(folder.resolve("ignoring"));
        try (DirectorProcess ignoring = DirectorProcess.start(otherFolder, nextConfig, "trap '' HUP;")) {
            assertTrue(ignoring.awaitEventLine("signal.ignored").contains("signal=HUP"));
            ignoring.awaitEvent("director.listening");
            ignoring.signal("HUP");
            Path reloadedFile = otherFolder.resolve("config.json");
            Files.writeString(
                    reloadedFile, nextConfig.copy().put("feed", "nowhere").encode());
            assertTrue(post(adminPort, "/reload").contains("422"));
            assertTrue(ignoring.awaitEventLine("config.kept").contains("key=feed:"));
            Files.writeString(
                    reloadedFile, nextConfig.copy().put("feed", HOST + ":2").encode());
            assertTrue(post(adminPort, "/reload").contains("200"));
            assertTrue(ignoring.awaitEventLine("discovery.moved").contains(HOST + ":2"));
            ignoring.awaitEvent("config.reloaded");
        }
    }

    private static String post(int port, String path) throws IOException {
        try (Socket socket = new Socket(HOST, port)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").getBytes());
            return new String(socket.getInputStream().readAllBytes())
                    .lines()
                    .findFirst()
                    .orElse("");
        }
    }

    // The library accepts connections on its own thread. Clients took all descriptors before the event loop had seen
    // their connections, and the director could not connect to the feed again.
    @Test
    void reconnectsToTheFeedWhileIdleClientsOpenAsManyConnectionsAsTheyCan() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 50, InetAddress.getByName(HOST))) {
            feed.setSoTimeout(60_000);
            JsonObject nextConfig =
                    DirectorProcess.configWithoutFeed(HOST, HOST + ":1").put("feed", HOST + ":" + feed.getLocalPort());
            nextConfig.put("limits", new JsonObject().put("sockets", MAX_DESCRIPTORS));
            Path otherFolder = Files.createDirectory(folder.resolve("crowded"));
            // The packaged program is one file; here the process also holds a descriptor for each of its libraries.
            int libraries = System.getProperty("java.class.path").split(File.pathSeparator).length;
            try (DirectorProcess crowded = DirectorProcess.start(
                            otherFolder, nextConfig, "ulimit -n " + (MAX_DESCRIPTORS + libraries) + ";");
                    Crowd crowd = new Crowd(crowded)) {
                Socket watch = feed.accept();
                crowd.start();
                for (int i = 0; i < 5; i++) {
                    crowd.awaitMore(2 * MAX_DESCRIPTORS);
                    watch.close();
                    watch = feed.accept();
                }
                watch.close();
                assertTrue(crowded.isAlive());
                assertEquals(
                        List.of(),
                        crowded.logLinesContaining("Too many open files"),
                        () -> String.join("\n", crowded.logLinesContaining("")));
            }
        }
    }

    /** Opens connections as fast as possible and sends nothing; closes the oldest when there are too many. */
    private static final class Crowd implements AutoCloseable {
        private final DirectorProcess director;
        private final AtomicInteger connected = new AtomicInteger();
        private final Deque<Socket> open = new ArrayDeque<>();
        private final Thread thread = new Thread(this::connect, "crowd");
        private volatile boolean closed;

        Crowd(DirectorProcess director) {
            this.director = director;
        }

        void start() {
            thread.start();
        }

        private void connect() {
            while (!closed && director.isAlive()) {
                Socket socket = new Socket();
                try {
                    socket.connect(director.address(), 200);
                    open.add(socket);
                    connected.incrementAndGet();
                    if (open.size() > 3 * MAX_DESCRIPTORS) {
                        open.poll().close();
                    }
                } catch (IOException e) {
                    // The director doesn't listen yet, or its accept queue is full.
                }
            }
        }

        void awaitMore(int count) throws InterruptedException {
            int target = connected.get() + count;
            while (connected.get() < target) {
                assertTrue(director.isAlive(), "the director has ended");
                Thread.sleep(5);
            }
        }

        @Override
        public void close() throws Exception {
            closed = true;
            thread.join();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    @Test
    void exitsWithZeroOnSigterm() throws Exception {
        signal("TERM");
        awaitEventLine("director.stopped");
        assertEquals(0, process.waitFor());
    }
}
