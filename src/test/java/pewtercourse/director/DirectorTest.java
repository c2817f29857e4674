package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pewtercourse.ExampleConfig;
import pewtercourse.cache.AttemptResult;
import pewtercourse.cache.CacheConnection;
import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.cache.Transport;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;

/** The life of a request against one HTTP server, on a port that the system gives, which plays all members. */
class DirectorTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final AtomicInteger out = new AtomicInteger(), outMost = new AtomicInteger();
    private Director director;
    private DirectorConfig config;

    @AfterEach
    void close() {
        vertx.close();
    }

    /** {@code play} hears the request and how many came before it. */
    private void start(BiConsumer<HttpServerRequest, Integer> play) throws Exception {
        AtomicInteger count = new AtomicInteger();
        HttpServer server = vertx.createHttpServer(
                new HttpServerOptions().setHost("127.0.0.1").setPort(0));
        server.requestHandler(r -> {
            asked.add(r.method() + " " + r.uri());
            outMost.accumulateAndGet(out.incrementAndGet(), Math::max);
            r.response().endHandler(v -> out.decrementAndGet());
            r.connection().closeHandler(v -> out.decrementAndGet());
            r.body().onSuccess(b -> play.accept(r, count.getAndIncrement()));
        });
        int port =
                get(server.listen().toCompletionStage().toCompletableFuture()).actualPort();
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        JsonArray hosts = json.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
        hosts.forEach(h -> ((JsonObject) h).put("dial", "127.0.0.1:" + port));
        config = DirectorConfig.read(Map.of(), json);
        CompletableFuture<Director> made = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            Director d = new Director(vertx, config);
            d.start();
            made.complete(d);
        });
        director = get(made);
    }

    private Answer ask(String cls, String known, double deadlineMs) throws Exception {
        return get(begin(cls, known, deadlineMs));
    }

    private CompletableFuture<Answer> begin(String cls, String known, double deadlineMs) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        vertx.runOnContext(v -> director.handle(
                new ClientRequest(
                        "9b1f03aa5c7e2d41",
                        cls,
                        "7f3a9c21e0b4d655",
                        3,
                        17,
                        10,
                        known,
                        Buffer.buffer(cls.equals("place-order") ? "two couscous" : ""),
                        director.clock().getAsLong(),
                        deadlineMs),
                answer::complete));
        return answer;
    }

    private static <T> T get(CompletableFuture<T> f) throws Exception {
        return f.get(30, TimeUnit.SECONDS);
    }

    // The director of a warm-up that ran out of time: its requests were told as unanswered seconds later.
    @Test
    void whatIsOpenWhenItStopsIsAnsweredAtOnce() throws Exception {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        start((r, n) -> reached.complete(null));
        CompletableFuture<Answer> answer = begin("menu-page", null, 60_000);
        get(reached);
        vertx.runOnContext(v -> director.stop());
        assertEquals(Answer.Kind.FAILED, get(answer).kind());
        CompletableFuture<Integer> open = new CompletableFuture<>();
        vertx.runOnContext(v -> open.complete(director.openRequests()));
        assertEquals(0, get(open));
    }

    @Test
    void theBytesOfACacheAreServed() throws Exception {
        start((r, n) -> r.response().putHeader("ETag", "abc").end("menu"));
        Answer a = ask("menu-page", null, 20_000);
        assertEquals(Answer.Kind.SERVED, a.kind());
        assertEquals("menu", a.body().toString());
        assertEquals("abc", a.tag());
        assertEquals(List.of("GET /o/menu-page/7f3a9c21e0b4d655/3"), asked);
    }

    @Test
    void aCopyThatHoldsIsToldWithoutBytes() throws Exception {
        start((r, n) -> r.response()
                .setStatusCode("abc".equals(r.getHeader("If-None-Match")) ? 304 : 500)
                .putHeader("ETag", "abc")
                .end());
        Answer a = ask("menu-page", "abc", 20_000);
        assertEquals(Answer.Kind.SAME, a.kind());
        assertEquals(0, a.body().length());
    }

    @Test
    void anOrderWhoseConnectionBreaksIsNeitherRepeatedNorRefused() throws Exception {
        start((r, n) -> r.connection().close());
        assertEquals(Answer.Kind.FAILED, ask("place-order", null, 20_000).kind());
        assertEquals(List.of("GET /o/place-order/7f3a9c21e0b4d655/3"), asked);
    }

    @Test
    void whatIsSafeIsTriedAgainOneAttemptAtATime() throws Exception {
        start((r, n) -> {
            if (n < 2) {
                r.connection().close();
            } else {
                r.response().end("menu");
            }
        });
        assertEquals("menu", ask("menu-page", null, 20_000).body().toString());
        assertEquals(3, asked.size());
        assertEquals(1, outMost.get());
    }

    @Test
    void anAnswerThatBreaksOffIsNotServed() throws Exception {
        start((r, n) -> {
            r.response().putHeader("Content-Length", "100");
            r.response().write("half").onComplete(v -> r.connection().close());
        });
        Answer a = ask("menu-page", null, 20_000);
        assertTrue(
                a.kind() == Answer.Kind.REFUSED || a.kind() == Answer.Kind.FAILED,
                a.kind().name());
        assertTrue(asked.size() <= 6, "at most six attempts: " + asked);
    }

    @Test
    void aSilentCacheEndsAtTheClientsDeadline() throws Exception {
        start((r, n) -> {});
        assertEquals(Answer.Kind.FAILED, ask("place-order", null, 200).kind());
        assertEquals(1, asked.size());
    }

    // A director that ends in the moments after a client's time would leave its request without any answer.
    @Test
    void whatCannotBeInTimeIsGivenUpWhileItsClientStillWaits() throws Exception {
        CompletableFuture<Integer> told = new CompletableFuture<>();
        start((r, n) -> told.complete(Integer.valueOf(r.getHeader("Timeout-Ms"))));
        assertEquals(Answer.Kind.FAILED, ask("place-order", null, 1_000).kind());
        assertTrue(get(told) <= 960, "the attempt may last " + get(told) + " of the client's 1000 ms");
        for (double deadline : new double[] {1, 200, 2_500, 5_000, 60_000}) {
            long expires = ProxiedRequest.expires(new ClientRequest(
                    "9b1f03aa5c7e2d41",
                    "menu-page",
                    "7f3a9c21e0b4d655",
                    3,
                    17,
                    10,
                    null,
                    Buffer.buffer(),
                    7_000_000,
                    deadline));
            long spared = 7_000_000 + (long) (deadline * 1000) - expires;
            assertEquals(Math.min(100_000, 40 * deadline), spared, 1, "of " + deadline + " ms");
        }
    }

    @Test
    void anIdThatIsOpenAlreadyFailsAndLeavesTheOpenRequestAlone() throws Exception {
        CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
        start((r, n) -> held.complete(r));
        CompletableFuture<Answer> first = begin("place-order", null, 20_000);
        HttpServerRequest r = get(held);
        assertEquals(Answer.Kind.FAILED, ask("place-order", null, 1).kind());
        // Past the twin's deadline and backstop, when a timer of its own would have ended the first.
        CompletableFuture<Void> later = new CompletableFuture<>();
        vertx.setTimer(100, t -> later.complete(null));
        get(later);
        vertx.runOnContext(v -> r.response().end("order"));
        assertEquals("order", get(first).body().toString());
    }

    @Test
    void anIdThatWasAnsweredIsNotServedAgain() throws Exception {
        start((r, n) -> r.response().end("menu"));
        assertEquals(Answer.Kind.SERVED, ask("menu-page", null, 20_000).kind());
        assertEquals(Answer.Kind.FAILED, ask("menu-page", null, 20_000).kind());
        assertEquals(1, asked.size());
    }

    @Test
    void whatIsWithdrawnAtOnceTakesNoRoom() throws Exception {
        start((r, n) -> r.response().end("menu"));
        CompletableFuture<Integer> open = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            for (int i = 0; i < 300; i++) {
                director.handle(
                                new ClientRequest(
                                        String.format("%016x", 7 + i),
                                        "menu-page",
                                        String.format("%016x", i),
                                        0,
                                        0,
                                        10,
                                        null,
                                        Buffer.buffer(),
                                        director.clock().getAsLong(),
                                        3_000),
                                a -> {})
                        .run();
            }
            open.complete(director.openRequests());
        });
        assertEquals(0, get(open));
        assertEquals(Answer.Kind.SERVED, ask("menu-page", null, 20_000).kind());
        assertEquals(1, asked.size(), "only what is still wanted: " + asked);
    }

    /** Caches that answer when the test lets them. */
    private static final class ScriptedTransport implements Transport {
        final List<Promise<CacheResponse>> asked = new ArrayList<>();
        final List<Promise<Void>> dials = new ArrayList<>(); // Where the test lets connections come up.
        boolean slow;

        @Override
        public Future<CacheConnection> connect(InetSocketAddress to, long timeoutMs) {
            if (!slow) {
                return Future.succeededFuture(connection());
            }
            dials.add(Promise.promise());
            return dials.get(dials.size() - 1).future().map(v -> connection());
        }

        private CacheConnection connection() {
            return new CacheConnection() {
                private boolean open = true;

                @Override
                public Future<CacheResponse> exchange(CacheRequest request, long timeoutMs) {
                    asked.add(Promise.promise());
                    return asked.get(asked.size() - 1).future();
                }

                @Override
                public boolean isOpen() {
                    return open;
                }

                @Override
                public void onClose(Runnable then) {}

                @Override
                public void close() {
                    open = false;
                }
            };
        }
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
        return EventLoopCalls.call(vertx, what);
    }

    private ScriptedTransport startScripted() throws Exception {
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        config = DirectorConfig.read(Map.of(), json);
        ScriptedTransport caches = new ScriptedTransport();
        director = onLoop(() -> {
            Director d = new Director(vertx, config, caches);
            d.start();
            return d;
        });
        return caches;
    }

    private ClientRequest page(long id, double deadlineMs) {
        return new ClientRequest(
                String.format("%016x", id),
                "menu-page",
                String.format("%016x", id % 50),
                0,
                17,
                10,
                null,
                Buffer.buffer(),
                director.clock().getAsLong(),
                deadlineMs);
    }

    // The module orders one more attempt for it in the batch in which it also hears that the client has gone: that
    // attempt
    // was dropped without a word, and took up room at its cache for good.
    @Test
    void aClientThatLeavesAsItsAttemptEndsTakesUpNoRoom() throws Exception {
        ScriptedTransport caches = startScripted();
        for (int i = 0; i < 400; i++) {
            long id = 1_000 + i;
            Runnable gone = onLoop(() -> director.handle(page(id, 20_000), a -> {}));
            int n = i;
            onLoop(() -> caches.asked.size()); // The module has sent it on.
            onLoop(() -> {
                assertEquals(n + 1, caches.asked.size(), "one attempt for each client");
                caches.asked.get(n).complete(CacheResponse.of(AttemptResult.MISS));
                gone.run();
                return null;
            });
            onLoop(() -> null); // The module has heard both.
            onLoop(() -> null); // And how the attempt ended that it had ordered meanwhile.
            assertEquals(0, onLoop(director::openRequests));
        }
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        onLoop(() -> director.handle(page(7, 20_000), answer::complete));
        onLoop(() -> null);
        onLoop(() -> {
            assertEquals(401, caches.asked.size(), "the caches have room for one more");
            caches.asked.get(400).complete(new CacheResponse(AttemptResult.SERVED, Buffer.buffer("menu"), "t", "mem"));
            return null;
        });
        assertEquals(Answer.Kind.SERVED, get(answer).kind());
    }

    // After a late turn the sockets are read in any order: the client's close may stand behind the connection's coming
    // up.
    @Test
    void aClientThatLeavesAsItsConnectionComesUpIsNotSentOn() throws Exception {
        ScriptedTransport caches = startScripted();
        caches.slow = true;
        Runnable gone = onLoop(() -> director.handle(page(1, 20_000), a -> {}));
        onLoop(() -> null);
        onLoop(() -> {
            caches.dials.get(0).complete();
            gone.run();
            return null;
        });
        onLoop(() -> null);
        onLoop(() -> null);
        assertEquals(0, onLoop(() -> caches.asked.size()), "sent on for a client that had gone");
        assertEquals(0, onLoop(director::openRequests));
    }

    // A turn that took too long leaves much to do: what is due comes first, and the rest doesn't come in one piece.
    @Test
    void afterALateTurnWhatIsDueIsAnsweredFirst() throws Exception {
        ScriptedTransport caches = startScripted();
        AtomicInteger askedWhenAnswered = new AtomicInteger(-1);
        CompletableFuture<Answer> due = new CompletableFuture<>();
        onLoop(() -> director.handle(page(1, 100), a -> {
            askedWhenAnswered.set(caches.asked.size());
            due.complete(a);
        }));
        onLoop(() -> null);
        int before = onLoop(() -> caches.asked.size());
        onLoop(() -> {
            for (int i = 0; i < 600; i++) {
                director.handle(page(1_000 + i, 20_000), a -> {});
            }
            long until = director.clock().getAsLong() + 150_000;
            while (director.clock().getAsLong() < until) {
                Thread.onSpinWait();
            }
            return null;
        });
        get(due);
        assertEquals(before, askedWhenAnswered.get(), "others were sent on before it");
    }

    // ---- Settings that change ----

    private void reload(java.util.function.Consumer<JsonObject> change) throws Exception {
        JsonObject json = config.source().copy();
        change.accept(json.getJsonObject("settings"));
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            director.reload(DirectorConfig.read(Map.of(), json));
            done.complete(null);
        });
        get(done);
    }

    @Test
    void classesComeAndGoAndWhatIsUnderWayKeepsItsClass() throws Exception {
        CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
        start((r, n) -> {
            if (n == 0) {
                held.complete(r);
            } else {
                r.connection().close(); // What is safe to repeat would be repeated.
            }
        });
        CompletableFuture<Answer> first = begin("menu-page", null, 20_000);
        HttpServerRequest r = get(held);
        reload(s -> {
            s.getJsonArray("Classes").remove(1); // menu-page has gone, and its place is free.
            s.getJsonArray("Classes")
                    .add(new JsonObject()
                            .put("Name", "menu-v2")
                            .put("Effect", "side_effect")
                            .put("Aim", 400)
                            .put("Deadline", 3_000));
        });
        vertx.runOnContext(v -> r.connection().close());
        Answer a = get(first);
        int asks = asked.size();
        assertTrue(asks > 1, "safe to repeat when it came, so it was: " + asked);
        assertTrue(a.kind() == Answer.Kind.REFUSED || a.kind() == Answer.Kind.FAILED);
        assertEquals(
                Answer.Kind.FAILED,
                begin("menu-page", 2).get(30, TimeUnit.SECONDS).kind());
        assertEquals(asks, asked.size(), "its class has gone");
        assertEquals(
                Answer.Kind.FAILED,
                begin("menu-v2", 3).get(30, TimeUnit.SECONDS).kind());
        assertEquals(asks + 1, asked.size(), "must not run twice: " + asked);
    }

    @Test
    void fewerAttemptsCountAtOnce() throws Exception {
        start((r, n) -> r.connection().close());
        reload(s -> s.getJsonObject("Permissions").put("TryLimit", 1));
        begin("menu-page", 4).get(30, TimeUnit.SECONDS);
        assertEquals(1, asked.size());
    }

    private CompletableFuture<Answer> begin(String cls, long id) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        vertx.runOnContext(v -> director.handle(
                new ClientRequest(
                        String.format("%016x", id),
                        cls,
                        "7f3a9c21e0b4d655",
                        0,
                        17,
                        10,
                        null,
                        Buffer.buffer(),
                        director.clock().getAsLong(),
                        20_000),
                answer::complete));
        return answer;
    }

    @Test
    void aClassThatTheSettingsLackFails() throws Exception {
        start((r, n) -> {});
        assertEquals(Answer.Kind.FAILED, ask("no-such-class", null, 20_000).kind());
        assertEquals(0, asked.size());
    }
}
