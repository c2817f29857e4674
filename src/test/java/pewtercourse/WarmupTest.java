package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiClient;
import pewtercourse.front.fastcgi.FastCgiServer;

class WarmupTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<ClientRequest> served = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static ClientRequest clientsRequest() {
        return new ClientRequest(
                "9b1f03aa5c7e2d41",
                "menu-page",
                "7f3a9c21e0b4d655",
                0,
                0,
                1,
                null,
                Buffer.buffer(),
                System.currentTimeMillis() * 1000,
                3_000);
    }

    private static <T> T get(Future<T> f) throws Exception {
        return f.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    @Test
    void noneOfItsRequestsReachesTheServiceAndNoClientIsToldToComeBefore() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        CompletableFuture<Warmup> made = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> made.complete(new Warmup(vertx, config, (r, answer) -> {
                    served.add(r);
                    answer.accept(Answer.served(Buffer.buffer("menu"), null));
                    return () -> {};
                })));
        Warmup warmup = made.get(30, TimeUnit.SECONDS);
        int port = get(new FastCgiServer(vertx, warmup, () -> System.currentTimeMillis() * 1000, config.front())
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1")))
                .actualPort();
        SocketAddress at = SocketAddress.inetSocketAddress(port, "127.0.0.1");
        FastCgiClient client = get(FastCgiClient.connect(vertx, at));
        Map<String, String> alive = Map.of("SCRIPT_NAME", "/alive");
        assertFalse(get(client.send(alive)).toString().startsWith("Status: 200"));
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(v -> warmup.run(at, true).onComplete(d -> done.complete(null)));
        done.get(30, TimeUnit.SECONDS);
        assertEquals(List.of(), served);
        assertTrue(get(client.send(alive)).toString().startsWith("Status: 200"));
        assertTrue(get(client.send(Map.of(
                        "SCRIPT_NAME",
                        "/ops/menu-page",
                        "HTTP_X_CORRELATION_ID",
                        "9b1f03aa5c7e2d41",
                        "HTTP_X_SUBJECT",
                        "7f3a9c21e0b4d655",
                        "HTTP_X_DEADLINE_MS",
                        "3000")))
                .toString()
                .endsWith("menu"));
        assertEquals(1, served.size());
    }

    @Test
    void aClientThatComesBeforeIsRefusedAndNeverGetsAnAnswerThatNoCacheMade() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        CompletableFuture<Answer> got = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            Warmup w = new Warmup(vertx, config, (r, answer) -> () -> {});
            w.run(SocketAddress.inetSocketAddress(1, "127.0.0.1"), true);
            w.handle(clientsRequest(), got::complete);
        });
        Answer a = got.get(30, TimeUnit.SECONDS);
        assertEquals(Answer.Kind.REFUSED, a.kind());
        assertTrue(a.pushbackMs() > 0);
    }

    // No request of its own is ever answered here: only a sign that others are at work can end it, before or after
    // the time that is left to it then.
    @Test
    void aRestartIntoAFleetAtWorkTakesTheShorterTime() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        NetServer deaf = get(vertx.createNetServer().connectHandler(s -> {}).listen(0, "127.0.0.1"));
        for (int sign = 0; sign < 3; sign++) {
            int kind = sign;
            CompletableFuture<Boolean> readyBefore = new CompletableFuture<>();
            CompletableFuture<Void> done = new CompletableFuture<>();
            vertx.getOrCreateContext().runOnContext(v -> {
                Warmup w = new Warmup(vertx, config, (r, answer) -> () -> {}, 3_600_000, 50);
                w.run(SocketAddress.inetSocketAddress(deaf.actualPort(), "127.0.0.1"), true)
                        .onComplete(d -> done.complete(null));
                if (kind == 0) {
                    w.onFleetServing();
                } else if (kind == 1) {
                    w.handle(clientsRequest(), a -> {});
                } else {
                    vertx.setTimer(100, t -> w.onFleetServing()); // Later than the time that is left.
                }
                readyBefore.complete(w.ready());
            });
            assertFalse(readyBefore.get(30, TimeUnit.SECONDS));
            done.get(30, TimeUnit.SECONDS);
        }
    }

    /** The front keeps the warm-up's own requests back until the warm-up is over, and only then hands them in. */
    @Test
    void itsOwnRequestsThatAreReadAfterItsEndAreRefusedAtOnce() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        List<ClientRequest> heldBack = new CopyOnWriteArrayList<>();
        RequestHandler front = (request, answer) -> {
            heldBack.add(request);
            return () -> {};
        };
        int port = get(new FastCgiServer(vertx, front, () -> System.currentTimeMillis() * 1000, config.front())
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1")))
                .actualPort();
        CompletableFuture<Warmup> made = new CompletableFuture<>();
        Context loop = vertx.getOrCreateContext();
        loop.runOnContext(v -> made.complete(new Warmup(
                vertx,
                config,
                (request, answer) -> {
                    served.add(request);
                    return () -> {};
                },
                3_600_000,
                1)));
        Warmup warmup = made.get(30, TimeUnit.SECONDS);
        CompletableFuture<List<Answer.Kind>> answeredAtOnce = new CompletableFuture<>();
        loop.runOnContext(v -> {
            warmup.run(SocketAddress.inetSocketAddress(port, "127.0.0.1"), true).onComplete(done -> {
                List<Answer.Kind> kinds = new ArrayList<>();
                heldBack.forEach(request -> warmup.handle(request, answer -> kinds.add(answer.kind())));
                answeredAtOnce.complete(kinds);
            });
            vertx.setPeriodic(5, poll -> {
                if (heldBack.size() == 4) {
                    vertx.cancelTimer(poll);
                    warmup.onFleetServing(); // Ends it.
                }
            });
        });
        assertEquals(Collections.nCopies(4, Answer.Kind.REFUSED), answeredAtOnce.get(30, TimeUnit.SECONDS));
        assertEquals(List.of(), served);
    }

    @Test
    void withoutTimeItIsReadyAtOnce() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        CompletableFuture<Boolean> ready = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            Warmup w = new Warmup(vertx, config, (r, answer) -> () -> {});
            w.run(SocketAddress.inetSocketAddress(1, "127.0.0.1"), false);
            ready.complete(w.ready());
        });
        assertTrue(ready.get(30, TimeUnit.SECONDS));
    }
}
