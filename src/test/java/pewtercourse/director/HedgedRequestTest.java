package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pewtercourse.ExampleConfig;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheResponse;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** Leaves an attempt unanswered where the settings allow a second one beside it. */
class HedgedRequestTest {
    private static final long POLL_MS = 20;
    private static final int MAX_POLLS = 400;

    private final Vertx vertx = Vertx.vertx();
    private final ScriptedTransport caches = new ScriptedTransport();
    private Director director;

    @AfterEach
    void close() {
        vertx.close();
    }

    private <T> T onLoop(Supplier<T> code) throws Exception {
        return EventLoopCalls.call(vertx, code);
    }

    private CompletableFuture<Answer> requestWithParallelTries() throws Exception {
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        json.getJsonObject("settings").getJsonObject("Permissions").put("ParallelTries", true);
        DirectorConfig config = DirectorConfig.read(Map.of(), json);
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        director = onLoop(() -> {
            Director started = new Director(vertx, config, caches);
            started.start();
            started.handle(
                    new ClientRequest(
                            "9b1f03aa5c7e2d41",
                            "menu-page",
                            "7f3a9c21e0b4d655",
                            0,
                            17,
                            10,
                            null,
                            null,
                            false,
                            Buffer.buffer(),
                            started.clock().getAsLong(),
                            20_000),
                    answer::complete);
            return started;
        });
        return answer;
    }

    private void awaitExchanges(int count) throws Exception {
        for (int i = 0; i < MAX_POLLS && onLoop(caches.exchanges::size) < count; i++) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        assertTrue(onLoop(caches.exchanges::size) >= count, "no further attempt beside the overdue one");
    }

    // Guards against a hung cache that fails its requests: the router orders a hedged request that no socket carries.
    @Test
    void sendsAHedgedRequestBesideAnOverdueAttempt() throws Exception {
        CompletableFuture<Answer> answer = requestWithParallelTries();
        awaitExchanges(2);
        onLoop(() -> caches.exchanges.get(1).tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED)));
        assertEquals(Answer.Kind.SAME, answer.get(30, TimeUnit.SECONDS).kind());
        onLoop(() -> 0); // By now the router has cancelled the first attempt.
        assertEquals(0, onLoop(director::openRequests), "the first attempt was not cancelled");
    }

    // The first attempt's answer has arrived and is not read when the router orders the hedged request.
    @Test
    void sendsNoHedgedRequestAfterAnUnreadAnswer() throws Exception {
        onLoop(() -> caches.onReadArrived = () -> caches.exchanges.stream()
                .limit(1)
                .forEach(first -> first.tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED))));
        CompletableFuture<Answer> answer = requestWithParallelTries();
        assertEquals(Answer.Kind.SAME, answer.get(30, TimeUnit.SECONDS).kind());
        assertEquals(1, onLoop(caches.exchanges::size), "a hedged request after the answer");
    }

    @Test
    void servesTheFirstAttemptWhereItAnswersBeforeTheHedgedOne() throws Exception {
        CompletableFuture<Answer> answer = requestWithParallelTries();
        awaitExchanges(2);
        onLoop(() -> caches.exchanges.get(0).tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED)));
        assertEquals(Answer.Kind.SAME, answer.get(30, TimeUnit.SECONDS).kind());
        onLoop(() -> 0);
        assertEquals(0, onLoop(director::openRequests), "the hedged request was not cancelled");
    }
}
