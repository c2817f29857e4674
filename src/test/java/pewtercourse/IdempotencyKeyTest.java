package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pewtercourse.front.fastcgi.RawFrontClient;

/** Sends requests of a class with idempotency keys through a director to a cache that breaks off their first attempt. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class IdempotencyKeyTest {
    private static final String HOST = "127.83.17.21";
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    @TempDir
    Path folder;

    private ScriptedCache cache;
    private DirectorProcess director;
    private int lastRequestId;

    @BeforeEach
    void startDirector() throws Exception {
        cache = new ScriptedCache(HOST, ScriptedCache.respondWith("done"));
        JsonObject config = DirectorProcess.configWithoutFeed(HOST, cache.hostAndPort());
        JsonObject keyedClass =
                config.getJsonObject("settings").getJsonArray("Classes").getJsonObject(2);
        keyedClass.put("Effect", "token").put("Group", "all").put("MemorySpan", 3_000.0);
        director = DirectorProcess.start(folder, config, "");
        director.awaitEvent("director.listening");
    }

    @AfterEach
    void stopDirector() throws Exception {
        director.close();
        cache.close();
    }

    private static Map<String, String> order(int number) {
        Map<String, String> params = new LinkedHashMap<>();
        params.put("SCRIPT_NAME", "/ops/place-order");
        params.put("HTTP_X_CORRELATION_ID", String.format("%016x", 0x9b1f_0000L + number));
        params.put("HTTP_X_SUBJECT", "7f3a9c21e0b4d655");
        params.put("HTTP_X_DEADLINE_MS", "2500");
        return params;
    }

    private String send(Map<String, String> params) throws IOException {
        try (RawFrontClient client = new RawFrontClient(director.address())) {
            return client.write(RawFrontClient.request(1, params, "two couscous"))
                    .readAnswer();
        }
    }

    private String sendWithKey(String key) throws IOException {
        Map<String, String> params = order(++lastRequestId);
        params.put("HTTP_X_OPERATION_KEY", key);
        return send(params);
    }

    private List<String> keysAtTheCache() {
        return cache.requestFields().stream()
                .filter(field -> field.startsWith("Once-Key: "))
                .toList();
    }

    private void breakOffTheFirstAttempt() {
        int before = cache.requestIds().size();
        cache.setResponder((socket, line, id) -> {
            if (cache.requestIds().size() == before + 1) {
                reset(socket);
            } else {
                ScriptedCache.respondWith("done").respond(socket, line, id);
            }
        });
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    // Guards against a booking that runs twice: the attempts of one request reach the caches without its key.
    @Test
    void sendsTheClientsKeyWithEachAttemptOfARequest() throws Exception {
        breakOffTheFirstAttempt();
        assertTrue(sendWithKey(KEY).startsWith("Status: 200"));
        assertEquals(List.of("Once-Key: " + KEY, "Once-Key: " + KEY), keysAtTheCache());
        assertEquals(2, cache.requestIds().size());
    }

    @Test
    void doesNotRepeatARequestWithoutAKeyThatMayHaveRun() throws Exception {
        breakOffTheFirstAttempt();
        assertTrue(sendWithKey("").startsWith("Status: 502"));
        assertEquals(1, cache.requestIds().size());
        assertEquals(List.of(), keysAtTheCache());
    }

    // Guards against a client that writes header fields of its own choice into a request to a cache.
    @Test
    void rejectsAKeyThatCannotStandInAHeaderField() throws Exception {
        for (String key : List.of("a b", "a\r\nX-Keep: 3", "a\n", "\ta", "a\0", "caf\u00e9", "k".repeat(256))) {
            assertTrue(sendWithKey(key).startsWith("Status: 502"), "with the key " + key);
        }
        assertEquals(0, cache.requestIds().size());
        assertTrue(sendWithKey("k".repeat(255)).startsWith("Status: 200"));
        assertEquals(List.of("Once-Key: " + "k".repeat(255)), keysAtTheCache());
    }

    @Test
    void passesTheKeyOfAnotherClassOnUnchanged() throws Exception {
        Map<String, String> params = order(++lastRequestId);
        params.put("SCRIPT_NAME", "/ops/menu-page");
        params.put("HTTP_X_OPERATION_KEY", KEY);
        assertTrue(send(params).startsWith("Status: 200"));
        assertEquals(List.of("Once-Key: " + KEY), keysAtTheCache());
    }
}
