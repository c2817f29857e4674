package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pewtercourse.ExampleConfig;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheResponse;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** Repeats an order of a class with idempotency keys around the end of the time in which caches remember its key. */
class RepeatWindowTest {
    private static final int WINDOW_MS = 600;

    private final Vertx vertx = Vertx.vertx();
    private final ScriptedTransport caches = new ScriptedTransport();
    private Director director;
    private long lastId;

    @BeforeEach
    void start() throws Exception {
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        JsonObject keyedClass =
                json.getJsonObject("settings").getJsonArray("Classes").getJsonObject(2);
        keyedClass.put("Effect", "token").put("Group", "all").put("MemorySpan", (double) WINDOW_MS);
        json.getJsonObject("settings").getJsonObject("Permissions").put("ConnectTimeout", 5_000.0);
        DirectorConfig config = DirectorConfig.read(Map.of(), json);
        director = onLoop(() -> {
            Director started = new Director(vertx, config, caches);
            started.start();
            return started;
        });
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private <T> T onLoop(Supplier<T> code) throws Exception {
        return EventLoopCalls.call(vertx, code);
    }

    private CompletableFuture<Answer> order(String key, boolean clientRetry) throws Exception {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        onLoop(() -> director.handle(
                new ClientRequest(
                        String.format("%016x", ++lastId),
                        "place-order",
                        "7f3a9c21e0b4d655",
                        0,
                        17,
                        10,
                        null,
                        key,
                        clientRetry,
                        Buffer.buffer("two couscous"),
                        director.clock().getAsLong(),
                        2_500),
                answer::complete));
        settle();
        return answer;
    }

    // By the end the router has handled what is queued, and its attempts have been written or wait for a connection.
    private void settle() throws Exception {
        for (int turn = 0; turn < 5; turn++) {
            onLoop(() -> 0);
        }
    }

    private void end(int exchange, AttemptResult result) throws Exception {
        onLoop(() -> caches.exchanges.get(exchange).tryComplete(CacheResponse.of(result)));
        settle();
    }

    private void waitMs(long ms) throws Exception {
        CompletableFuture<Void> waited = new CompletableFuture<>();
        vertx.setTimer(ms, timer -> waited.complete(null));
        waited.get(30, TimeUnit.SECONDS);
    }

    // Guards against an order that runs twice: a repeat is decided inside the window and written after it.
    @Test
    void doesNotWriteARepeatWhoseConnectionComesUpAfterTheWindow() throws Exception {
        CompletableFuture<Answer> answer = order("key", false);
        caches.holdsConnects = true;
        end(0, AttemptResult.RESET);
        assertEquals(1, caches.connects.size(), "the repeat waits for its connection");
        waitMs(WINDOW_MS);
        onLoop(() -> caches.connects.get(0).tryComplete());
        assertEquals(Answer.Kind.FAILED, answer.get(30, TimeUnit.SECONDS).kind());
        assertEquals(1, caches.requests.size());
    }

    // Guards against an order that runs twice: the client's retry has another id, and counted from its own first
    // attempt.
    @Test
    void countsTheWindowFromTheFirstTryOfAClient() throws Exception {
        CompletableFuture<Answer> first = order("key", false);
        waitMs(WINDOW_MS / 2);
        CompletableFuture<Answer> retry = order("key", true);
        assertEquals(2, caches.requests.size(), "inside the window a retry is sent");
        waitMs(WINDOW_MS / 2);
        end(1, AttemptResult.RESET);
        assertEquals(Answer.Kind.FAILED, retry.get(30, TimeUnit.SECONDS).kind());
        end(0, AttemptResult.RESET);
        assertEquals(Answer.Kind.FAILED, first.get(30, TimeUnit.SECONDS).kind());
        assertEquals(2, caches.requests.size(), "none is sent after the window");
    }

    // Guards against an order that runs twice: its first try was sent by another director, at a time unknown here.
    @Test
    void doesNotRepeatAClientsRetryWhoseFirstTryMayBeOlderThanTheWindow() throws Exception {
        CompletableFuture<Answer> answer = order("key", true);
        end(0, AttemptResult.RESET);
        assertEquals(Answer.Kind.FAILED, answer.get(30, TimeUnit.SECONDS).kind());
        assertEquals(1, caches.requests.size());
    }

    @Test
    void repeatsAnOrderInsideTheWindow() throws Exception {
        CompletableFuture<Answer> answer = order("key", false);
        end(0, AttemptResult.RESET);
        assertEquals(2, caches.requests.size());
        assertEquals(
                caches.requests.get(0).idempotencyKey(), caches.requests.get(1).idempotencyKey());
        onLoop(() -> caches.exchanges.get(1).tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED)));
        assertEquals(Answer.Kind.SAME, answer.get(30, TimeUnit.SECONDS).kind());
    }
}
