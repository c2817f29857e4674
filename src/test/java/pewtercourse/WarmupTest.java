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
import pewtercourse.memory.HeldBytes;

class WarmupTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<ClientRequest> serviceRequests = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static ClientRequest clientRequest() {
        return new ClientRequest(
                "9b1f03aa5c7e2d41",
                "menu-page",
                "7f3a9c21e0b4d655",
                0,
                0,
                1,
                null,
                null,
                false,
                Buffer.buffer(),
                System.currentTimeMillis() * 1000,
                3_000);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    @Test
    void keepsItsRequestsFromTheServiceAndReportsReadyOnlyAtItsEnd() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        CompletableFuture<Warmup> created = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> created.complete(new Warmup(vertx, config, (request, answer) -> {
                    serviceRequests.add(request);
                    answer.accept(Answer.served(Buffer.buffer("menu"), null));
                    return () -> {};
                })));
        Warmup warmup = created.get(30, TimeUnit.SECONDS);
        int port = await(new FastCgiServer(
                                vertx,
                                warmup,
                                () -> System.currentTimeMillis() * 1000,
                                20,
                                new HeldBytes(config.memoryLimits()))
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1")))
                .actualPort();
        SocketAddress address = SocketAddress.inetSocketAddress(port, "127.0.0.1");
        FastCgiClient client = await(FastCgiClient.connect(vertx, address));
        Map<String, String> alive = Map.of("SCRIPT_NAME", "/alive");
        assertFalse(await(client.send(alive)).toString().startsWith("Status: 200"));
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(v -> warmup.run(address, true).onComplete(ignored -> done.complete(null)));
        done.get(30, TimeUnit.SECONDS);
        assertEquals(List.of(), serviceRequests);
        assertTrue(await(client.send(alive)).toString().startsWith("Status: 200"));
        assertTrue(await(client.send(Map.of(
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
        assertEquals(1, serviceRequests.size());
    }

    // An answer at this time would come from the canned transport and not from a cache.
    @Test
    void refusesClientRequestsUntilItsEnd() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        CompletableFuture<Answer> clientAnswer = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            Warmup warmup = new Warmup(vertx, config, (request, answer) -> () -> {});
            warmup.run(SocketAddress.inetSocketAddress(1, "127.0.0.1"), true);
            warmup.handle(clientRequest(), clientAnswer::complete);
        });
        Answer answer = clientAnswer.get(30, TimeUnit.SECONDS);
        assertEquals(Answer.Kind.REFUSED, answer.kind());
        assertTrue(answer.pushbackMs() > 0);
    }

    // None of the warm-up requests is answered, so that only a sign that the fleet serves clients ends the warm-up. The
    // sign comes before or after the shorter time limit.
    @Test
    void usesTheShorterTimeLimitOnceTheFleetServesClients() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        NetServer neverAnswering =
                await(vertx.createNetServer().connectHandler(socket -> {}).listen(0, "127.0.0.1"));
        for (int sign = 0; sign < 3; sign++) {
            int fleetSign = sign;
            CompletableFuture<Boolean> readyBefore = new CompletableFuture<>();
            CompletableFuture<Void> done = new CompletableFuture<>();
            vertx.getOrCreateContext().runOnContext(v -> {
                Warmup warmup = new Warmup(vertx, config, (request, answer) -> () -> {}, 3_600_000, 50);
                warmup.run(SocketAddress.inetSocketAddress(neverAnswering.actualPort(), "127.0.0.1"), true)
                        .onComplete(ignored -> done.complete(null));
                if (fleetSign == 0) {
                    warmup.onFleetServing();
                } else if (fleetSign == 1) {
                    warmup.handle(clientRequest(), answer -> {});
                } else {
                    vertx.setTimer(100, timer -> warmup.onFleetServing()); // After the shorter time limit.
                }
                readyBefore.complete(warmup.ready());
            });
            assertFalse(readyBefore.get(30, TimeUnit.SECONDS));
            done.get(30, TimeUnit.SECONDS);
        }
    }

    // The front delivers the warm-up requests only after the warm-up has ended.
    @Test
    void refusesItsOwnRequestsThatAreDeliveredAfterItsEnd() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        List<ClientRequest> delayedRequests = new CopyOnWriteArrayList<>();
        RequestHandler front = (request, answer) -> {
            delayedRequests.add(request);
            return () -> {};
        };
        int port = await(new FastCgiServer(
                                vertx,
                                front,
                                () -> System.currentTimeMillis() * 1000,
                                20,
                                new HeldBytes(config.memoryLimits()))
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1")))
                .actualPort();
        CompletableFuture<Warmup> created = new CompletableFuture<>();
        Context loop = vertx.getOrCreateContext();
        loop.runOnContext(v -> created.complete(new Warmup(
                vertx,
                config,
                (request, answer) -> {
                    serviceRequests.add(request);
                    return () -> {};
                },
                3_600_000,
                1)));
        Warmup warmup = created.get(30, TimeUnit.SECONDS);
        CompletableFuture<List<Answer.Kind>> answeredAtOnce = new CompletableFuture<>();
        loop.runOnContext(v -> {
            warmup.run(SocketAddress.inetSocketAddress(port, "127.0.0.1"), true).onComplete(done -> {
                List<Answer.Kind> kinds = new ArrayList<>();
                delayedRequests.forEach(request -> warmup.handle(request, answer -> kinds.add(answer.kind())));
                answeredAtOnce.complete(kinds);
            });
            vertx.setPeriodic(5, poll -> {
                if (delayedRequests.size() == 4) {
                    vertx.cancelTimer(poll);
                    warmup.onFleetServing(); // Ends the warm-up.
                }
            });
        });
        assertEquals(Collections.nCopies(4, Answer.Kind.REFUSED), answeredAtOnce.get(30, TimeUnit.SECONDS));
        assertEquals(List.of(), serviceRequests);
    }

    // A director that was ready at once compiled while its first clients waited, and their time ran out.
    @Test
    void warmsUpForTheShorterTimeWhereTheFleetIsAtWork() throws Exception {
        DirectorConfig config = ExampleConfig.read();
        NetServer neverAnswering =
                await(vertx.createNetServer().connectHandler(socket -> {}).listen(0, "127.0.0.1"));
        CompletableFuture<Boolean> readyBefore = new CompletableFuture<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            Warmup warmup = new Warmup(vertx, config, (request, answer) -> () -> {}, 3_600_000, 50);
            warmup.run(SocketAddress.inetSocketAddress(neverAnswering.actualPort(), "127.0.0.1"), false)
                    .onComplete(ignored -> done.complete(null));
            readyBefore.complete(warmup.ready());
        });
        assertFalse(readyBefore.get(30, TimeUnit.SECONDS));
        done.get(30, TimeUnit.SECONDS);
    }
}
