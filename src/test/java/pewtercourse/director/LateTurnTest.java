package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pewtercourse.ExampleConfig;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheResponse;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;
import pewtercourse.front.ReadDelays;

/** The event loop is busy until a request's deadline has passed. */
class LateTurnTest {
    private static final double DEADLINE_MS = 300;
    private static final long BUSY_MS = 400;
    private static final int WAIT_SECONDS = 30;

    private final Vertx vertx = Vertx.builder()
            .withTransport(new FrontTransport(new LimitedListener(1)))
            .build();
    private final ScriptedTransport caches = new ScriptedTransport();
    private Director director;

    @BeforeEach
    void start() throws Exception {
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        DirectorConfig config = DirectorConfig.read(Map.of(), json);
        director = EventLoopCalls.call(vertx, () -> {
            Director started = new Director(vertx, config, caches);
            started.start();
            return started;
        });
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private ClientRequest request(String id, long arrivedAtMicros) {
        return new ClientRequest(
                id,
                "menu-page",
                "7f3a9c21e0b4d655",
                0,
                17,
                10,
                null,
                null,
                false,
                Buffer.buffer(),
                arrivedAtMicros,
                DEADLINE_MS);
    }

    private static void busy() {
        try {
            TimeUnit.MILLISECONDS.sleep(BUSY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aResponseThatHasArrivedUnreadIsServedBeforeTheRequestIsFailed() throws Exception {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        EventLoopCalls.call(
                vertx,
                () -> director.handle(
                        request("9b1f03aa5c7e2d41", director.clock().getAsLong()), answer::complete));
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (EventLoopCalls.call(vertx, caches.exchanges::isEmpty) && System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        EventLoopCalls.call(vertx, () -> {
            caches.onReadArrived =
                    () -> caches.exchanges.get(0).tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED));
            // Its batch is late, so that expired requests are failed first.
            director.handle(request("9b1f03aa5c7e2d42", director.clock().getAsLong()), other -> {});
            busy();
            return 0;
        });
        assertEquals(
                Answer.Kind.SAME, answer.get(WAIT_SECONDS, TimeUnit.SECONDS).kind());
    }

    // Refused without being routed: no cache is asked for a client that has left.
    @Test
    void aRequestThatIsReadAfterItsTimeIsRefused() throws Exception {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        EventLoopCalls.call(
                vertx,
                () -> director.handle(
                        request("9b1f03aa5c7e2d43", director.clock().getAsLong() - 400_000), answer::complete));
        assertEquals(
                Answer.Kind.REFUSED, answer.get(WAIT_SECONDS, TimeUnit.SECONDS).kind());
        assertEquals(0, EventLoopCalls.call(vertx, caches.exchanges::size));
        assertEquals(
                1,
                EventLoopCalls.call(
                        vertx,
                        () -> director.gaugeValues(0, 0, new ReadDelays()).overloadRejections()));
    }
}
