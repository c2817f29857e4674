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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.FastCgiClient;
import pewtercourse.front.fastcgi.RawFrontClient;

/** The program as the platform runs it: a process that is told things by signals. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MainTest {
    // An address of its own, so that no other program takes the port between the look and the use.
    private static final String HOST = "127.83.17.5";

    private static final int DESCRIPTORS = 128;

    @TempDir
    Path folder;

    private Process process;
    private BufferedReader log;
    private JsonObject config;
    private Path file;

    @BeforeEach
    void start() throws Exception {
        file = folder.resolve("config.json");
        config = ExampleConfig.json().put("feed", HOST + ":1");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            config.put("listen", HOST + ":" + free.getLocalPort());
        }
        config.put("limits", new JsonObject().put("sockets", DESCRIPTORS));
        Files.writeString(file, config.encode());
        ProcessBuilder b = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "pewtercourse.Main",
                "serve");
        b.environment().put("GW_CONFIG", file.toString());
        b.environment().remove("GW_LISTEN");
        process = b.redirectErrorStream(true).start();
        log = process.inputReader();
        // A line that never comes must fail the test, not hang it: reading ends with the process. Far over what any of
        // these
        // takes: a full table of descriptors alone takes half a minute.
        CompletableFuture.delayedExecutor(180, TimeUnit.SECONDS).execute(process::destroyForcibly);
        heard("director.listening");
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
    }

    private String heard(String event) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(event)) {
            line = log.readLine();
        }
        assertNotNull(line, "ended without " + event);
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
    void onSighupTheFileIsReadAgainAndOneThatCannotBeUsedChangesNothing() throws Exception {
        Files.writeString(file, config.copy().put("feed", "nowhere").encode());
        signal("HUP");
        assertTrue(heard("config.kept").contains("key=feed:"));
        Files.writeString(
                file,
                config.put("feed", HOST + ":2").put("peer_listen", HOST + ":3").encode());
        signal("HUP");
        assertTrue(heard("config.needs_restart").contains("keys=peer_listen"));
        assertTrue(heard("discovery.moved").contains(HOST + ":2"));
        heard("config.reloaded");
        assertTrue(process.isAlive());
    }

    @Test
    void aFileThatIsCutOffOrLacksAKeyLeavesTheSettingsWhole() throws Exception {
        JsonObject classless = config.copy();
        classless
                .getJsonObject("settings")
                .getJsonArray("Classes")
                .getJsonObject(0)
                .remove("Deadline");
        for (String broken : List.of("", config.encode().substring(0, 500), classless.encode())) {
            Files.writeString(file, broken);
            signal("HUP");
            heard("config.kept");
        }
        JsonObject next = config.copy();
        next.getJsonObject("settings")
                .getJsonArray("Classes")
                .add(new JsonObject()
                        .put("Name", "menu-v2")
                        .put("Effect", "pure")
                        .put("Aim", 400.0)
                        .put("Deadline", 3000.0)
                        .put("Worth", 1.0));
        Files.writeString(file, next.encode());
        signal("HUP");
        assertTrue(heard("config.reloaded").contains("classes=menu-media,menu-page,menu-v2,place-order"));
    }

    @Test
    void moreConnectionsThanDescriptorsDoNotEndTheListener() throws Exception {
        CompletableFuture.runAsync(() -> log.lines().forEach(l -> {})); // A full pipe would stop it.
        String[] at = config.getString("listen").split(":");
        List<Socket> open = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < 3 * DESCRIPTORS; i++) {
                Socket s = new Socket();
                open.add(s);
                try {
                    s.connect(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 200);
                } catch (IOException e) {
                    // The queue of the listener is full, too.
                }
            }
            for (Socket s : open) {
                s.close();
            }
        }
        Vertx vertx = Vertx.vertx();
        String answer = "";
        // It may rest for a second before it accepts again; if it never does, the process is ended in the end.
        while (!answer.startsWith("Status: 200") && process.isAlive()) {
            try {
                answer = FastCgiClient.connect(vertx, SocketAddress.inetSocketAddress(Integer.parseInt(at[1]), at[0]))
                        .compose(c -> c.send(Map.of("SCRIPT_NAME", "/alive")))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(3, TimeUnit.SECONDS)
                        .toString();
            } catch (Exception e) {
                // asked again
            }
        }
        vertx.close();
        assertTrue(answer.startsWith("Status: 200"), "no longer accepts");
    }

    @Test
    void aConfigurationThatCannotBeUsedEndsItBeforeItListens() throws Exception {
        JsonObject broken = DirectorProcess.config(HOST, HOST + ":1");
        broken.getJsonObject("settings")
                .getJsonArray("Classes")
                .getJsonObject(1)
                .put("Deadline", "soon");
        Path other = Files.createDirectory(folder.resolve("broken"));
        try (DirectorProcess ended = DirectorProcess.start(other, broken, "")) {
            assertTrue(ended.line("config.unusable").contains("key=Classes.1.Deadline:"));
            assertEquals(2, ended.ended(60));
            assertThrows(
                    IOException.class,
                    () -> new Socket(
                                    ended.address().getAddress(),
                                    ended.address().getPort())
                            .close());
        }
    }

    @Test
    void oneClassOfAnOddNameThatMayNotBeRepeatedIsServed() throws Exception {
        CompletableFuture<String> asked = new CompletableFuture<>();
        ScriptedCache cache = new ScriptedCache(HOST, (socket, line, id) -> {
            asked.complete(line);
            ScriptedCache.serve("menu").answer(socket, line, id);
        });
        JsonObject odd = DirectorProcess.config(HOST, cache.dial());
        odd.getJsonObject("settings")
                .put(
                        "Classes",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("Name", "menú, día/2")
                                        .put("Effect", "side_effect")
                                        .put("Aim", 400.0)
                                        .put("Deadline", 3000.0)
                                        .put("Worth", 0.25)));
        Path other = Files.createDirectory(folder.resolve("odd"));
        try (DirectorProcess director = DirectorProcess.start(other, odd, "")) {
            director.heard("director.listening");
            try (RawFrontClient client = new RawFrontClient(director.address())) {
                String answer = client.write(RawFrontClient.request(1, "menú, día/2", "00000000000000aa", 20_000))
                        .readAnswer();
                assertTrue(answer.startsWith("Status: 200"), answer);
            }
        }
        assertEquals("GET /o/men%C3%BA,%20d%C3%ADa%2F2/7f3a9c21e0b4d655/0 HTTP/1.1", asked.get(30, TimeUnit.SECONDS));
        cache.close();
    }

    // As under nohup: the JVM doesn't take the signal, and nobody was told.
    @Test
    void whereSighupIsIgnoredTheLogSaysSoAndOperatorsCanReload() throws Exception {
        int adminPort = DirectorProcess.freePort(HOST);
        JsonObject next = DirectorProcess.config(HOST, HOST + ":1").put("feed", HOST + ":1");
        next.put("admin_addr", HOST + ":" + adminPort);
        Path other = Files.createDirectory(folder.resolve("ignoring"));
        try (DirectorProcess ignoring = DirectorProcess.start(other, next, "trap '' HUP;")) {
            assertTrue(ignoring.line("signal.ignored").contains("signal=HUP"));
            ignoring.heard("director.listening");
            ignoring.signal("HUP");
            Path at = other.resolve("config.json");
            Files.writeString(at, next.copy().put("feed", "nowhere").encode());
            assertTrue(post(adminPort, "/reload").contains("422"));
            assertTrue(ignoring.line("config.kept").contains("key=feed:"));
            Files.writeString(at, next.copy().put("feed", HOST + ":2").encode());
            assertTrue(post(adminPort, "/reload").contains("200"));
            assertTrue(ignoring.line("discovery.moved").contains(HOST + ":2"));
            ignoring.heard("config.reloaded");
        }
    }

    private static String post(int port, String path) throws IOException {
        try (Socket s = new Socket(HOST, port)) {
            s.setSoTimeout(30_000);
            s.getOutputStream()
                    .write(("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").getBytes());
            return new String(s.getInputStream().readAllBytes())
                    .lines()
                    .findFirst()
                    .orElse("");
        }
    }

    // The library accepts on a thread of its own: clients had all descriptors before the event loop had seen them, and
    // the
    // feed could not be called again.
    @Test
    void theFeedIsCalledAgainWhileIdleClientsTakeAllTheyCanGet() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 50, InetAddress.getByName(HOST))) {
            feed.setSoTimeout(60_000);
            JsonObject next = DirectorProcess.config(HOST, HOST + ":1").put("feed", HOST + ":" + feed.getLocalPort());
            next.put("limits", new JsonObject().put("sockets", DESCRIPTORS));
            Path other = Files.createDirectory(folder.resolve("crowded"));
            // The program is one file; here it holds a descriptor for each of its libraries besides.
            int libraries = System.getProperty("java.class.path").split(File.pathSeparator).length;
            try (DirectorProcess crowded =
                            DirectorProcess.start(other, next, "ulimit -n " + (DESCRIPTORS + libraries) + ";");
                    Crowd crowd = new Crowd(crowded)) {
                Socket watch = feed.accept();
                crowd.start();
                for (int i = 0; i < 5; i++) {
                    crowd.awaitMore(2 * DESCRIPTORS);
                    watch.close();
                    watch = feed.accept();
                }
                watch.close();
                assertTrue(crowded.isAlive());
                assertEquals(
                        List.of(), crowded.logged("Too many open files"), () -> String.join("\n", crowded.logged("")));
            }
        }
    }

    /** Clients that connect as fast as they can and say nothing; as many as a process may hold, again and again. */
    private static final class Crowd implements AutoCloseable {
        private final DirectorProcess director;
        private final AtomicInteger connected = new AtomicInteger();
        private final Deque<Socket> open = new ArrayDeque<>();
        private final Thread thread = new Thread(this::connect, "crowd");
        private volatile boolean ended;

        Crowd(DirectorProcess director) {
            this.director = director;
        }

        void start() {
            thread.start();
        }

        private void connect() {
            while (!ended && director.isAlive()) {
                Socket s = new Socket();
                try {
                    s.connect(director.address(), 200);
                    open.add(s);
                    connected.incrementAndGet();
                    if (open.size() > 3 * DESCRIPTORS) {
                        open.poll().close();
                    }
                } catch (IOException e) {
                    // It doesn't listen yet, or its queue is full.
                }
            }
        }

        void awaitMore(int count) throws InterruptedException {
            int until = connected.get() + count;
            while (connected.get() < until) {
                assertTrue(director.isAlive(), "it has ended");
                Thread.sleep(5);
            }
        }

        @Override
        public void close() throws Exception {
            ended = true;
            thread.join();
            for (Socket s : open) {
                s.close();
            }
        }
    }

    @Test
    void onSigtermItEndsByItselfWithZero() throws Exception {
        signal("TERM");
        heard("director.stopped");
        assertEquals(0, process.waitFor());
    }
}
