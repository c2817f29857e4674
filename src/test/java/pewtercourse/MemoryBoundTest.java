package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.RawFrontClient;

/**
 * Sends bursts of requests for the largest objects, or with the largest bodies, through a director with the heap that the
 * start script gives to one with 96 MB: each gets an answer in time, and the heap is not exhausted.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MemoryBoundTest {
    private static final String HOST = "127.83.17.22";
    private static final int MEMORY_MB = 96;
    private static final int CACHES = 12;
    private static final int REQUESTS_PER_CONNECTION = 32;
    private static final int OBJECT_BYTES = 240_000;
    private static final int BODY_BYTES = 48_000;
    private static final int BODY_CONNECTIONS = 16;
    private static final int MANY_BODY_CONNECTIONS = 40;
    private static final int DEADLINE_MS = 5_000;
    private static final int ANSWER_SLACK_MS = 550;
    private static final int SLICE_BYTES = 8_000;
    private static final int SLICE_MS = 25;

    @TempDir
    Path folder;

    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final Map<String, Integer> answersByStatus = new ConcurrentHashMap<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private ScriptedCache cache;
    private DirectorProcess director;
    private InetSocketAddress admin;

    @BeforeEach
    void startDirector() throws Exception {
        cache = new ScriptedCache(HOST, MemoryBoundTest::respondWithLength);
        admin = new InetSocketAddress(HOST, DirectorProcess.freePort(HOST));
        JsonObject config = DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort());
        config.put("admin_addr", HOST + ":" + admin.getPort());
        config.getJsonObject("limits").put("memory_mb", MEMORY_MB);
        JsonArray hosts = config.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
        for (int i = 0; i < CACHES - 2; i++) {
            hosts.add(hosts.getJsonObject(0).copy().put("host", String.format("s-%08x", 0x100 + i)));
        }
        director = DirectorProcess.start(
                folder,
                config,
                "export JDK_JAVA_OPTIONS='-XX:+UseSerialGC -Xmx" + MEMORY_MB * 2 / 5 + "m -XX:MaxDirectMemorySize="
                        + MEMORY_MB / 7 + "m -Dio.netty.maxDirectMemory=0';");
        director.awaitEvent("director.listening");
    }

    @AfterEach
    void stopDirector() throws Exception {
        clients.shutdownNow();
        director.close();
        cache.close();
    }

    private static void respondWithLength(Socket socket, String line, String id) throws IOException {
        ScriptedCache.write(
                socket,
                "HTTP/1.1 200 OK\r\nETag: t" + id + "\r\nOutcome: mem\r\nContent-Length: " + OBJECT_BYTES + "\r\n\r\n");
        writePaced(socket, "", "");
    }

    private static void respondInChunks(Socket socket, String line, String id) throws IOException {
        ScriptedCache.write(
                socket, "HTTP/1.1 200 OK\r\nETag: t" + id + "\r\nOutcome: mem\r\nTransfer-Encoding: chunked\r\n\r\n");
        writePaced(socket, Integer.toHexString(SLICE_BYTES) + "\r\n", "\r\n");
        ScriptedCache.write(socket, "0\r\n\r\n");
    }

    private static void writePaced(Socket socket, String before, String after) throws IOException {
        String slice = before + "x".repeat(SLICE_BYTES) + after;
        byte[] bytes = slice.getBytes(StandardCharsets.ISO_8859_1);
        for (int offset = 0; offset < OBJECT_BYTES; offset += SLICE_BYTES) {
            socket.getOutputStream().write(bytes);
            pause(SLICE_MS);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] request(int requestId, String body) {
        String id = String.format("%016x", lastId.incrementAndGet());
        return RawFrontClient.request(
                requestId,
                Map.of(
                        "SCRIPT_NAME",
                        "/ops/menu-media",
                        "HTTP_X_CORRELATION_ID",
                        id,
                        "HTTP_X_SUBJECT",
                        id,
                        "HTTP_X_DEADLINE_MS",
                        String.valueOf(DEADLINE_MS),
                        "HTTP_X_NEED_KB",
                        "2632"),
                body);
    }

    // Sends all requests at once, waits, and reads all answers; returns the milliseconds until the last one.
    private long play(int connection, String body, long pauseMs) throws IOException {
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            for (int i = 1; i <= REQUESTS_PER_CONNECTION; i++) {
                client.write(request(i, body));
            }
            long sentAt = System.nanoTime();
            pause(pauseMs);
            for (int i = 1; i <= REQUESTS_PER_CONNECTION; i++) {
                String answer = client.readAnswer();
                assertTrue(answer != null, "connection " + connection + ": no answer " + i);
                answersByStatus.merge(answer.substring(0, 11), 1, Integer::sum);
            }
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        }
    }

    private void playAtOnce(int connections, String body, long pauseMs) throws Exception {
        long ms = playAll(connections, body, pauseMs);
        assertTrue(ms <= DEADLINE_MS + ANSWER_SLACK_MS + pauseMs, "an answer came after " + ms + " ms");
    }

    // Returns the milliseconds until the last answer.
    private long playAll(int connections, String body, long pauseMs) throws Exception {
        List<Future<Long>> plays = new ArrayList<>();
        for (int c = 0; c < connections; c++) {
            int connection = c;
            plays.add(clients.submit(() -> play(connection, body, pauseMs)));
        }
        long maxMs = 0;
        for (Future<Long> play : plays) {
            maxMs = Math.max(maxMs, play.get(60, TimeUnit.SECONDS));
        }
        assertEquals(List.of(), director.logLinesContaining("OutOfMemoryError"));
        assertTrue(director.isAlive());
        return maxMs;
    }

    private Map<String, Long> metrics() throws IOException {
        try (Socket call = new Socket(admin.getAddress(), admin.getPort())) {
            ScriptedCache.write(call, "GET /status/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            String text = new String(call.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return text.lines()
                    .filter(line -> line.startsWith("memory."))
                    .map(line -> line.split("="))
                    .collect(Collectors.toMap(pair -> pair[0], pair -> Long.valueOf(pair[1])));
        }
    }

    private void assertAllIsFreed() throws Exception {
        Map<String, Long> metrics = metrics();
        for (int i = 0; i < 100 && metrics.get("memory.requests.bytes") > 0; i++) {
            pause(50);
            metrics = metrics();
        }
        for (String stage : List.of("requests", "receiving", "answers")) {
            assertEquals(0, metrics.get("memory." + stage + ".bytes"), stage);
        }
        assertEquals(0, metrics.get("memory.paused_reads"));
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            assertTrue(client.write(request(1, "")).readAnswer().startsWith("Status: 200"));
        }
    }

    // Guards against a burst of large answers that exhausts the heap, so that requests never get an answer.
    @Test
    void answersABurstForLargeObjectsInTime() throws Exception {
        playAtOnce(6, "", 0);
        assertTrue(answersByStatus.getOrDefault("Status: 200", 0) >= 32, answersByStatus.toString());
        assertTrue(metrics().get("memory.pauses") > 0, "the burst is too small to reach the limit");
        assertAllIsFreed();
    }

    // Guards against chunked answers, whose length no head tells, that exhaust the heap.
    @Test
    void answersABurstOfChunkedAnswersInTime() throws Exception {
        cache.setResponder(MemoryBoundTest::respondInChunks);
        playAtOnce(6, "", 0);
        assertTrue(answersByStatus.getOrDefault("Status: 200", 0) >= 32, answersByStatus.toString());
        assertAllIsFreed();
    }

    // Guards against answers that exhaust the heap while their clients don't read, and are lost when these read again.
    @Test
    void keepsTheAnswersOfClientsThatReadLate() throws Exception {
        playAtOnce(6, "", 3_000);
        assertTrue(answersByStatus.getOrDefault("Status: 200", 0) >= 32, answersByStatus.toString());
        assertAllIsFreed();
    }

    // Guards against bodies of open requests that exhaust the heap while all caches hang.
    @Test
    void answersEachRequestOfABurstOfLargeBodiesAndBoundsTheirBytes() throws Exception {
        cache.setResponder(ScriptedCache.neverRespond());
        playAll(BODY_CONNECTIONS, "b".repeat(BODY_BYTES), 0);
        assertRequestsWereBounded(BODY_CONNECTIONS);
    }

    // Guards against requests whose time runs out before they are read: 25 MB arrive at once.
    @Test
    void answersABurstOfLargeBodiesInTime() throws Exception {
        cache.setResponder(ScriptedCache.neverRespond());
        playAtOnce(BODY_CONNECTIONS, "b".repeat(BODY_BYTES), 0);
        assertRequestsWereBounded(BODY_CONNECTIONS);
    }

    // Guards against requests whose time runs out before they are read: 61 MB arrive at once.
    @Test
    void answersABurstOfBodiesLargerThanTheHeapInTime() throws Exception {
        cache.setResponder(ScriptedCache.neverRespond());
        playAtOnce(MANY_BODY_CONNECTIONS, "b".repeat(BODY_BYTES), 0);
        assertRequestsWereBounded(MANY_BODY_CONNECTIONS);
    }

    private void assertRequestsWereBounded(int connections) throws Exception {
        Map<String, Long> metrics = metrics();
        assertTrue(
                metrics.get("memory.requests.peak_bytes")
                        <= metrics.get("memory.request_limit_bytes") + (long) connections * BODY_BYTES,
                metrics.toString());
        assertTrue(metrics.get("memory.requests.rejections") > 0, metrics.toString());
        cache.setResponder(ScriptedCache.respondWith("x"));
        assertAllIsFreed();
    }
}
