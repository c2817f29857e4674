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

/** A storm of caches that break in every way: one answer for each request, no order run twice, and nothing left over. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CacheStormTest {
    private static final String HOST = "127.83.17.9";
    private static final int CLIENTS = 6, REQUESTS = 60, DEADLINE_MS = 1_500;

    @TempDir
    Path folder;

    private final Map<String, Integer> mayHaveRun = new ConcurrentHashMap<>();
    private ScriptedCache cache;
    private DirectorProcess director;
    private int adminPort;

    @BeforeEach
    void start() throws Exception {
        cache = new ScriptedCache(HOST, this::misbehave);
        adminPort = DirectorProcess.freePort(HOST);
        JsonObject config = DirectorProcess.config(HOST, cache.dial()).put("admin_addr", HOST + ":" + adminPort);
        director = DirectorProcess.start(folder, config, "");
        director.heard("director.listening");
    }

    @AfterEach
    void end() throws Exception {
        director.close();
        cache.close();
    }

    private void misbehave(Socket socket, String line, String id) throws IOException {
        int kind = Math.floorMod((id + cache.requestIds().size()).hashCode(), 12);
        if (kind == 0) {
            ScriptedCache.write(socket, ScriptedCache.NEVER_RAN);
            return;
        }
        mayHaveRun.merge(id, 1, Integer::sum);
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
            case 4 -> endless(socket);
            case 5 -> {
                ScriptedCache.serve(id).answer(socket, line, id);
                ScriptedCache.serve(id).answer(socket, line, id);
            }
            case 6 -> ScriptedCache.write(socket, "noise\r\n\r\n");
            case 7 -> {
                ScriptedCache.serve(id).answer(socket, line, id);
                socket.close();
            }
            default -> ScriptedCache.serve(id).answer(socket, line, id);
        }
    }

    private static void endless(Socket socket) throws IOException {
        ScriptedCache.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = "2000\r\n" + "x".repeat(0x2000) + "\r\n";
        while (true) {
            ScriptedCache.write(socket, chunk); // Until the director closes.
        }
    }

    /** One client after the other's pattern: most wait for their answers, some abort, some are gone. */
    private Void client(int number) throws Exception {
        Random random = new Random(number);
        RawFrontClient client = new RawFrontClient(director.address());
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%08x%08x", number, i);
            String className = i % 4 == 0 ? "place-order" : "menu-page";
            client.write(RawFrontClient.request(1, className, id, id, DEADLINE_MS));
            int way = random.nextInt(10);
            if (way == 0) {
                client.reset();
                client = new RawFrontClient(director.address());
            } else if (way == 1) {
                client.write(RawFrontClient.abort(1));
                assertNotNull(client.readAnswer(), "the end of what was aborted");
            } else {
                String answer = client.readAnswer();
                assertNotNull(answer, "no answer to " + id);
                assertTrue(!answer.startsWith("Status: 200") || answer.endsWith("\r\n\r\n" + id), answer);
            }
        }
        client.close();
        return null;
    }

    private Map<String, String> figures() throws IOException {
        try (Socket s = new Socket(HOST, adminPort)) {
            s.getOutputStream().write("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            Map<String, String> figures = new HashMap<>();
            new String(s.getInputStream().readAllBytes())
                    .lines()
                    .filter(line -> line.contains("="))
                    .forEach(line ->
                            figures.put(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1)));
            return figures;
        }
    }

    @Test
    void afterAStormNothingIsLeftOver() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Void>> clients = new ArrayList<>();
        for (int number = 1; number <= CLIENTS; number++) {
            int n = number;
            clients.add(threads.submit((Callable<Void>) () -> client(n)));
        }
        for (Future<Void> client : clients) {
            client.get(120, TimeUnit.SECONDS);
        }
        threads.shutdown();
        mayHaveRun.forEach((id, times) -> {
            boolean order = Integer.parseInt(id.substring(8), 16) % 4 == 0;
            assertTrue(!order || times == 1, "an order that may have run " + times + " times: " + id);
        });
        while (!"0".equals(figures().get("open_requests"))) {
            Thread.onSpinWait();
        }
        cache.close(); // Of its connections none is needed any more.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (director.connections() > 0 && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(0, director.connections(), "connections left over");
        assertEquals(List.of(), director.logged(" ERROR "));
        assertEquals(List.of(), director.logged("request.unanswered"));
    }
}
