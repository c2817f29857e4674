package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pewtercourse.emulator.CacheModel;
import pewtercourse.emulator.SystemFaults;
import pewtercourse.front.fastcgi.RawFrontClient;

/** Three caches start together under load while the wall clock of their only director is stepped. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ColdCacheClockStepTest {
    private static final String HOST = "127.83.17.31";
    private static final int CACHES = 3;

    /** Transfers that a warm cache runs at once; the settings' link for fills is that of a zone with such caches. */
    private static final double CAPACITY = 8;

    private static final double CLIENT_KB_PER_SECOND = 3_400;
    private static final double LINK_TRANSFERS = CACHES * CAPACITY / 3;
    private static final double COLD_SHARE = 0.23;
    private static final long WARM_UP_MICROS = 16_000_000;
    private static final long COLLAPSE_WINDOW_MICROS = 1_500_000;
    private static final long TRANSFER_MICROS = 300_000;
    private static final int CLIENTS = 300;
    private static final long LOAD_NANOS = 3_500_000_000L;
    private static final long STEP_AFTER_MS = 700;
    private static final int DEADLINE_MS = 1_500;

    @TempDir
    Path folder;

    private final List<CacheModel> models = new ArrayList<>();
    private final List<ScriptedCache> caches = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private ScriptedFeed feed;
    private SystemFaults faults;
    private DirectorProcess director;

    @BeforeEach
    void startDirector() throws Exception {
        faults = DirectorProcess.systemFaults(folder);
        feed = new ScriptedFeed(HOST);
        for (int i = 0; i < CACHES; i++) {
            CacheModel model = new CacheModel(new CacheModel.Settings(
                    CAPACITY, 4, 100_000, COLD_SHARE, WARM_UP_MICROS, 2, COLLAPSE_WINDOW_MICROS));
            models.add(model);
            caches.add(new ScriptedCache(HOST, (socket, line, id) -> respond(model, socket)));
        }
        JsonObject config = DirectorProcess.configWithoutFeed(
                        HOST, caches.get(0).hostAndPort())
                .put("feed", feed.hostAndPort());
        config.getJsonObject("settings")
                .getJsonObject("Domain")
                .put("PipeKbPerS", new JsonArray().add(0).add(LINK_TRANSFERS * CLIENT_KB_PER_SECOND));
        members(config).getJsonObject(0).getJsonObject("members").put("hosts", hosts(0));
        director = DirectorProcess.start(folder, config, faults);
    }

    @AfterEach
    void stop() throws Exception {
        if (director != null) {
            director.close();
            feed.close();
        }
        for (ScriptedCache cache : caches) {
            cache.close();
        }
    }

    private static JsonArray members(JsonObject config) {
        return config.getJsonObject("known").getJsonArray("events");
    }

    private JsonArray hosts(long startedMs) {
        JsonArray hosts = new JsonArray();
        for (int i = 0; i < CACHES; i++) {
            hosts.add(new JsonObject()
                    .put("host", "s-0000000" + i)
                    .put("dial", caches.get(i).hostAndPort())
                    .put("site", "edge-1")
                    .put("class", "small-box")
                    .put("block", 0)
                    .put("health", "Ready")
                    .put("share", 1)
                    .put("born_ms", startedMs));
        }
        return hosts;
    }

    private static void respond(CacheModel model, Socket socket) throws IOException {
        long object = Thread.currentThread().getId();
        CacheModel.Answer answer;
        synchronized (model) {
            answer = model.handleRequest(nowMicros(), object, TRANSFER_MICROS, true, 0, 0);
        }
        switch (answer.outcome()) {
            case DOWN -> socket.close();
            case FULL -> ScriptedCache.write(socket, ScriptedCache.NEVER_RAN);
            default -> {
                pause(answer.durationMicros() / 1_000);
                synchronized (model) {
                    model.endTransfer();
                }
                ScriptedCache.respondWith("menu").respond(socket, "menu", "");
            }
        }
    }

    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request after another until the load ends, each for another object. */
    private void sendRequests(int client, long endNanos) {
        try (RawFrontClient connection = new RawFrontClient(director.address())) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                connection.write(RawFrontClient.request(1, params(client, i)));
                String answer = connection.readAnswer();
                assertTrue(answer != null, "a request has no answer");
                if (answer.startsWith("Status: 200")) {
                    served.incrementAndGet();
                } else {
                    pause(50);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, String> params(int client, int number) {
        Map<String, String> params = new LinkedHashMap<>();
        params.put("SCRIPT_NAME", "/ops/menu-media");
        params.put("REQUEST_METHOD", "GET");
        params.put("HTTP_X_CORRELATION_ID", String.format("%08x%08x", client + 1, number));
        params.put("HTTP_X_SUBJECT", String.format("%08x%08x", number, client + 1));
        params.put("HTTP_X_DEADLINE_MS", String.valueOf(DEADLINE_MS));
        params.put("HTTP_X_NEED_KB", String.valueOf(CLIENT_KB_PER_SECOND * TRANSFER_MICROS / 1e6));
        return params;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5, -5, 3_600, -3_600})
    void cachesInSlowStartStayUpWhenTheWallClockIsStepped(long stepSeconds) throws Exception {
        startCachesUnderLoad(0, stepSeconds);
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600, -3_600})
    void cachesThatStartAfterAStepOfTheWallClockStayUp(long stepSeconds) throws Exception {
        startCachesUnderLoad(stepSeconds, stepSeconds);
    }

    private void startCachesUnderLoad(long shiftBefore, long shiftDuringLoad) throws Exception {
        try (ScriptedFeed.Watch watch = feed.accept()) {
            director.awaitEvent("director.listening");
            faults.stepWallClockTo(shiftBefore);
            models.forEach(model -> model.start(nowMicros()));
            watch.writeEvent(2, listOfStartedCaches());
            pause(100);
            List<Thread> clients = new ArrayList<>();
            long endNanos = System.nanoTime() + LOAD_NANOS;
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                clients.add(new Thread(() -> sendRequests(client, endNanos)));
                clients.get(i).start();
            }
            pause(STEP_AFTER_MS);
            faults.stepWallClockTo(shiftDuringLoad);
            for (Thread client : clients) {
                client.join();
            }
        }
        assertTrue(served.get() > 0, "no request was served");
        assertEquals(
                List.of(0, 0, 0),
                models.stream().map(CacheModel::coldOverloadCount).toList());
    }

    private String listOfStartedCaches() {
        JsonObject list =
                new JsonObject().put("seq", 2).put("whole", false).put("hosts", hosts(System.currentTimeMillis()));
        return new JsonObject().put("n", 2).put("members", list).encode();
    }
}
