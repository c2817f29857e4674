package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.RawFrontClient;

/**
 * Sends requests to a cache that misbehaves in many ways: each request gets one answer, no order runs twice, and no
 * connection stays open.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CacheStormTest {
    private static final String HOST = "127.83.17.9";
    private static final int CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final int DEADLINE_MS = 1_500;

    @TempDir
    Path folder;

    private final Map<String, Integer> possibleRunsById = new ConcurrentHashMap<>();
    private ScriptedCache cache;
    private DirectorProcess director;
    private int adminPort;

    @BeforeEach
    void startDirector() throws Exception {
        cache = new ScriptedCache(HOST, this::misbehave);
        adminPort = DirectorProcess.freePort(HOST);
        JsonObject config =
                DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort()).put("admin_addr", HOST + ":" + adminPort);
        director = DirectorProcess.start(folder, config, "");
        director.awaitEvent("director.listening");
    }

    @AfterEach
    void stopDirector() throws Exception {
        director.close();
        cache.close();
    }

    private void misbehave(Socket socket, String line, String id) throws IOException {
        int kind = Math.floorMod((id + cache.requestIds().size()).hashCode(), 12);
        if (kind == 0) {
            ScriptedCache.write(socket, ScriptedCache.NEVER_RAN);
            return;
        }
        possibleRunsById.merge(id, 1, Integer::sum);
        switch (kind) {
            case 1 -> ScriptedCache.write(socket, "HTTP/1.1 200 O");
            case 2 -> {
                ScriptedCache.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                socket.close();
            }
            case 3 -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case 4 -> writeWithoutEnd(socket);
            case 5 -> {
                ScriptedCache.respondWith(id).respond(socket, line, id);
                ScriptedCache.respondWith(id).respond(socket, line, id);
            }
            case 6 -> ScriptedCache.write(socket, "noise\r\n\r\n");
            case 7 -> {
                ScriptedCache.respondWith(id).respond(socket, line, id);
                socket.close();
            }
            default -> ScriptedCache.respondWith(id).respond(socket, line, id);
        }
    }

    private static void writeWithoutEnd(Socket socket) throws IOException {
        ScriptedCache.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = "2000\r\n" + "x".repeat(0x2000) + "\r\n";
        while (true) {
            ScriptedCache.write(socket, chunk); // Until the director closes the connection.
        }
    }

    /** Sends a client's requests one after another: most are awaited, some aborted, some cut off by a reset. */
    private Void sendRequests(int number) throws Exception {
        Random random = new Random(number);
        RawFrontClient client = new RawFrontClient(director.address());
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String id = String.format("%08x%08x", number, i);
            String className = i % 4 == 0 ? "place-order" : "menu-page";
            client.write(RawFrontClient.request(1, className, id, id, DEADLINE_MS));
            int action = random.nextInt(10);
            if (action == 0) {
                client.reset();
                client = new RawFrontClient(director.address());
            } else if (action == 1) {
                client.write(RawFrontClient.abort(1));
                assertNotNull(client.readAnswer(), "no end of the aborted request " + id);
            } else {
                String answer = client.readAnswer();
                assertNotNull(answer, "no answer to " + id);
                assertTrue(!answer.startsWith("Status: 200") || answer.endsWith("\r\n\r\n" + id), answer);
            }
        }
        client.close();
        return null;
    }

    private Map<String, String> metrics() throws IOException {
        try (Socket socket = new Socket(HOST, adminPort)) {
            socket.getOutputStream().write("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            Map<String, String> metrics = new HashMap<>();
            new String(socket.getInputStream().readAllBytes())
                    .lines()
                    .filter(line -> line.contains("="))
                    .forEach(line ->
                            metrics.put(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1)));
            return metrics;
        }
    }

    @Test
    void answersEachRequestAndLeavesNoConnectionsOpenWhenCachesMisbehave() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Void>> clients = new ArrayList<>();
        for (int number = 1; number <= CLIENTS; number++) {
            int clientNumber = number;
            clients.add(threads.submit((Callable<Void>) () -> sendRequests(clientNumber)));
        }
        for (Future<Void> client : clients) {
            client.get(120, TimeUnit.SECONDS);
        }
        threads.shutdown();
        possibleRunsById.forEach((id, times) -> {
            boolean order = Integer.parseInt(id.substring(8), 16) % 4 == 0;
            assertTrue(!order || times == 1, "an order that may have run " + times + " times: " + id);
        });
        while (!"0".equals(metrics().get("open_requests"))) {
            Thread.onSpinWait();
        }
        cache.close(); // Ends the idle connections to the cache too.
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (director.openConnections() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertEquals(0, director.openConnections(), "connections are still open");
        assertEquals(List.of(), director.logLinesContaining(" ERROR "));
        assertEquals(List.of(), director.logLinesContaining("request.unanswered"));
    }
}
