package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.FastCgiClient;

/** Two processes of one director behind one inherited socket, as at an upgrade, under some requests a second. */
class UpgradeTest {
    // Holds the clients' socket and starts a process that inherits it for each line it reads; tells their numbers.
    private static final String PLATFORM = """
            use Socket; $| = 1;
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, inet_aton($ARGV[0]))) or die;
            listen($s, 128) or die; my ($port) = sockaddr_in(getsockname($s)); print "$port\\n";
            while (my $line = <STDIN>) {
              chomp $line; my $pid = fork;
              if (!$pid) { open(STDIN, '+<&', $s) or die; open(STDERR, '>&', STDOUT); exec('sh', '-c', $line); }
              print "started $pid\\n";
            }
            """;
    private static final String HOST = "127.83.17.6";
    private static final int CONNECTIONS = 6;

    @TempDir
    Path folder;

    private final Vertx vertx = Vertx.vertx();
    private final Map<String, AtomicInteger> ran = new ConcurrentHashMap<>(); // How often each id came to a member.
    private final Queue<String> toBanned = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger(), serial = new AtomicInteger();
    private final List<CompletableFuture<Void>> clients = new ArrayList<>();
    private volatile boolean stop;
    private Process platform;
    private BufferedReader log;
    private JsonObject config;
    private int port;

    @BeforeEach
    void start() throws Exception {
        platform = new ProcessBuilder("perl", "-e", PLATFORM, HOST)
                .redirectErrorStream(true)
                .start();
        log = platform.inputReader();
        CompletableFuture.delayedExecutor(90, TimeUnit.SECONDS).execute(platform::destroyForcibly);
        port = Integer.parseInt(log.readLine());
        int first = member(true), other = member(false);
        config = ExampleConfig.json()
                .put("listen", HOST + ":" + port)
                .put("peer_listen", HOST + ":" + (20_000 + port % 40_000));
        config.remove("feed");
        JsonArray hosts = config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
        for (int i = 0; i < hosts.size(); i++) {
            hosts.getJsonObject(i).put("dial", "127.0.0.1:" + (i == 0 ? first : other));
        }
    }

    @AfterEach
    void end() {
        stop = true;
        vertx.close();
        platform.descendants().forEach(ProcessHandle::destroyForcibly);
        platform.destroyForcibly();
    }

    private int member(boolean banned) throws Exception {
        HttpServer server = vertx.createHttpServer(
                new HttpServerOptions().setHost("127.0.0.1").setPort(0));
        server.requestHandler(r -> {
            ran.computeIfAbsent(r.getHeader("Request-Id"), i -> new AtomicInteger())
                    .incrementAndGet();
            if (banned) {
                toBanned.add(r.getHeader("Request-Id"));
            }
            r.response()
                    .putHeader("ETag", "t" + r.uri().hashCode())
                    .putHeader("Outcome", "mem")
                    .end(r.uri());
        });
        return server.listen()
                .toCompletionStage()
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS)
                .actualPort();
    }

    private String heard(String event) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(event)) {
            line = log.readLine();
        }
        assertNotNull(line, "ended without " + event);
        return line;
    }

    /** Starts one more process of the director; its number, once it is started. */
    private long run(int adminPort) throws IOException {
        Files.writeString(folder.resolve("config.json"), config.encode());
        String command = "GW_CONFIG=" + folder.resolve("config.json") + " GW_SOCKET_FD=0 TMPDIR=" + folder
                + " GW_ADMIN_ADDR=" + HOST + ":" + adminPort + " exec "
                + Path.of(System.getProperty("java.home"), "bin", "java") + " -XX:TieredStopAtLevel=1 -cp '"
                + System.getProperty("java.class.path") + "' pewtercourse.Main serve\n";
        platform.getOutputStream().write(command.getBytes(StandardCharsets.UTF_8));
        platform.getOutputStream().flush();
        return Long.parseLong(heard("started ").split(" ")[1]);
    }

    private static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return s.getLocalPort();
        }
    }

    private String call(int adminPort, String line, String body) throws IOException {
        try (Socket s = new Socket(HOST, adminPort)) {
            s.setSoTimeout(30_000);
            s.getOutputStream()
                    .write((line + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** One of the front's connections: a request after the other, until the test stops. */
    private void client(CompletableFuture<Void> done) {
        FastCgiClient.connect(vertx, SocketAddress.inetSocketAddress(port, HOST))
                .onSuccess(c -> ask(c, String.format("%016x", serial.incrementAndGet()), done))
                .onFailure(done::completeExceptionally);
    }

    private void ask(FastCgiClient c, String id, CompletableFuture<Void> done) {
        if (stop) {
            done.complete(null);
            return;
        }
        boolean order = id.hashCode() % 4 == 0;
        c.send(Map.of(
                        "SCRIPT_NAME",
                        order ? "/ops/place-order" : "/ops/menu-page",
                        "HTTP_X_CORRELATION_ID",
                        id,
                        "HTTP_X_SUBJECT",
                        String.format("%016x", id.hashCode() % 50 + 50),
                        "HTTP_X_DEADLINE_MS",
                        "20000",
                        "HTTP_X_NEED_KB",
                        "10"))
                .onComplete(answer -> {
                    if (answer.failed()) {
                        // It crossed the end of its connection: sent again once, on a new one, with its own id.
                        FastCgiClient.connect(vertx, SocketAddress.inetSocketAddress(port, HOST))
                                .onSuccess(again -> ask(again, id, done))
                                .onFailure(done::completeExceptionally);
                    } else if (answer.result().toString().startsWith("Status: 200")) {
                        served.incrementAndGet();
                        vertx.setTimer(
                                1 + Math.floorMod(id.hashCode(), 60),
                                t -> ask(c, String.format("%016x", serial.incrementAndGet()), done));
                    } else if (answer.result().toString().startsWith("Status: 503")) {
                        vertx.setTimer(20, t -> ask(c, String.format("%016x", serial.incrementAndGet()), done));
                    } else {
                        done.completeExceptionally(
                                new AssertionError(answer.result().toString()));
                    }
                });
    }

    private void untilServed(int more) throws InterruptedException {
        int until = served.get() + more;
        while (served.get() < until && platform.isAlive()) {
            clients.stream().filter(CompletableFuture::isCompletedExceptionally).forEach(CompletableFuture::join);
            Thread.sleep(10);
        }
        assertTrue(served.get() >= until, "requests are no longer served");
    }

    @Test
    void twiceUnderLoadEachRequestRunsOnceAndABanGoesAlong() throws Exception {
        int[] admin = {free(), free(), free()};
        long before = run(admin[0]);
        heard("director.listening");
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new CompletableFuture<>());
            client(clients.get(i));
        }
        untilServed(50);
        assertFalse(toBanned.isEmpty(), "in use before the ban");
        assertTrue(call(admin[0], "POST /maintenance/enter", "{\"target\":\"s-00000001\"}")
                .startsWith("HTTP/1.1 200"));
        untilServed(2 * CONNECTIONS); // What was under way is done.
        int banned = toBanned.size();
        for (int i = 1; i < admin.length; i++) {
            long next = run(admin[i]);
            heard("director.listening");
            assertTrue(call(admin[i], "GET /status", "").startsWith("HTTP/1.1 200"));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-TERM", String.valueOf(before))
                            .start()
                            .waitFor());
            heard("director.stopped open=0");
            before = next;
            untilServed(50);
        }
        assertEquals(banned, toBanned.size(), "out by hand, and used after an upgrade");
        assertTrue(call(admin[2], "POST /maintenance/exit", "{\"target\":\"s-00000001\"}")
                .startsWith("HTTP/1.1 200"));
        while (toBanned.size() == banned) {
            untilServed(10);
        }
        stop = true;
        for (CompletableFuture<Void> c : clients) {
            c.get(60, TimeUnit.SECONDS);
        }
        ran.forEach((id, times) -> assertEquals(1, times.get(), "run more than once: " + id));
    }

    @Test
    void aDescriptorThatIsNoListeningSocketIsRefused() throws Exception {
        ProcessBuilder b = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "pewtercourse.Main",
                        "serve")
                .redirectErrorStream(true);
        b.environment()
                .put(
                        "GW_CONFIG",
                        Files.writeString(folder.resolve("c.json"), config.encode())
                                .toString());
        b.environment().put("GW_SOCKET_FD", "0");
        Process refused = b.start();
        String out = new String(refused.getInputStream().readAllBytes());
        assertEquals(2, refused.waitFor());
        assertTrue(out.contains("config.unusable key=GW_SOCKET_FD:"), out);
    }
}
