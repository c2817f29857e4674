package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pewtercourse.ExampleConfig;
import pewtercourse.Timers;
import pewtercourse.cache.HttpTransport;
import pewtercourse.config.DirectorConfig;
import pewtercourse.front.ClientRequest;

/**
 * Requests at caches that break in every way, some of whose clients leave: each is answered once, and then no request, no
 * connection in use and no timer is left. Caches are real sockets; the ways are drawn from a seed.
 */
class StormTest {
    private static final int REQUESTS = 400, WAIT_SECONDS = 60;
    private static final int SPREAD_MS = 400;
    // Of clients whose caches may stay silent; and of others, far over the time in which a test looks: a timer that is
    // not
    // cancelled with its request is still there then.
    private static final double SHORT_DEADLINE_MS = 400, LONG_DEADLINE_MS = 600_000;
    // The module's own, which comes again and again.
    private static final int STANDING_TIMERS = 1;

    private final Vertx vertx = Vertx.vertx();
    private final Set<NetSocket> atCaches = new HashSet<>();
    private CountingTimers timers;
    private Director director;
    private int answers;
    private boolean silentCaches;

    /** The library's timers, those counted that have neither fired nor been cancelled. */
    private static final class CountingTimers implements Timers {
        private final Timers library;
        private final Set<Long> waiting = new HashSet<>();

        CountingTimers(Timers library) {
            this.library = library;
        }

        @Override
        public long set(long delayMs, Runnable then) {
            long[] id = new long[1];
            id[0] = library.set(delayMs, () -> {
                waiting.remove(id[0]);
                then.run();
            });
            waiting.add(id[0]);
            return id[0];
        }

        @Override
        public void cancel(long timer) {
            waiting.remove(timer);
            library.cancel(timer);
        }

        @Override
        public void afterReads(Runnable then) {
            library.afterReads(then);
        }
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
        return EventLoopCalls.call(vertx, what);
    }

    @BeforeEach
    void start() throws Exception {
        CompletableFuture<NetServer> listening = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> vertx.createNetServer(new NetServerOptions().setHost("127.0.0.1"))
                        .connectHandler(this::accept)
                        .listen()
                        .onSuccess(listening::complete)
                        .onFailure(listening::completeExceptionally));
        int port = listening.get(WAIT_SECONDS, TimeUnit.SECONDS).actualPort();
        JsonObject json = ExampleConfig.json();
        json.remove("feed");
        JsonArray hosts = json.getJsonObject("known")
                .getJsonArray("events")
                .getJsonObject(0)
                .getJsonObject("members")
                .getJsonArray("hosts");
        hosts.forEach(host -> ((JsonObject) host).put("dial", "127.0.0.1:" + port));
        DirectorConfig config = DirectorConfig.read(Map.of(), json);
        director = onLoop(() -> {
            timers = new CountingTimers(Timers.of(vertx));
            Director made = new Director(vertx, config, new HttpTransport(vertx), timers);
            made.start();
            return made;
        });
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private void accept(NetSocket socket) {
        atCaches.add(socket);
        socket.closeHandler(v -> atCaches.remove(socket));
        socket.exceptionHandler(e -> {});
        socket.handler(request -> misbehave(socket, new Random(request.hashCode() + atCaches.size())));
    }

    private void misbehave(NetSocket socket, Random random) {
        String whole = "HTTP/1.1 200 OK\r\nETag: t\r\nOutcome: mem\r\nContent-Length: 4\r\n\r\nmenu";
        switch (random.nextInt(9)) {
            case 0 -> socket.write("HTTP/1.1 503 Service Unavailable\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            case 1 -> breakOff(socket.write("HTTP/1.1 200 O"), socket);
            case 2 -> socket.end(Buffer.buffer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"));
            case 3 -> socket.close();
            case 4 -> socket.write(whole + whole);
            case 5 -> socket.write("noise\r\n\r\n");
            case 6 -> socket.end(Buffer.buffer(whole));
            case 7 -> breakOff(Future.succeededFuture(), socket);
            default -> socket.write(whole);
        }
    }

    // Says no more, or closes.
    private void breakOff(Future<Void> written, NetSocket socket) {
        if (!silentCaches) {
            written.onComplete(v -> socket.close());
        }
    }

    private ClientRequest request(int number, Random random) {
        return new ClientRequest(
                String.format("%016x", number + 1),
                random.nextInt(4) == 0 ? "place-order" : "menu-page",
                String.format("%016x", random.nextInt(80)),
                0,
                17,
                10,
                null,
                Buffer.buffer(),
                director.clock().getAsLong(),
                silentCaches ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS);
    }

    /** Of the clients some leave, at once or after a while; returns how many stay. */
    private int ask(Random random) {
        int stay = 0;
        for (int i = 0; i < REQUESTS; i++) {
            ClientRequest request = request(i, random);
            int when = random.nextInt(SPREAD_MS);
            boolean leaves = random.nextInt(5) == 0;
            stay += leaves ? 0 : 1;
            vertx.setTimer(1 + when, t -> {
                Runnable gone = director.handle(request, answer -> answers += leaves ? 0 : 1);
                if (leaves) {
                    vertx.setTimer(1 + when % 40, u -> gone.run());
                }
            });
        }
        return stay;
    }

    private void until(String what, Supplier<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!onLoop(holds)) {
            assertTrue(
                    System.nanoTime() < end,
                    () -> "never came: " + what + "; open " + director.openRequests() + ", timers " + timers.waiting.size()
                            + ", answers " + answers + ", connections " + atCaches.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "2, false", "3, false"})
    void afterAStormNothingIsLeftOver(long seed, boolean silent) throws Exception {
        onLoop(() -> silentCaches = silent);
        int stay = onLoop(() -> ask(new Random(seed)));
        until("an answer for each that stays", () -> answers >= stay && director.openRequests() == 0);
        until("no timer but the module's", () -> timers.waiting.size() <= STANDING_TIMERS);
        assertEquals(stay, answers, "one answer each");
        assertEquals(0, onLoop(director::openRequests));
        int idle = onLoop(director.pool::idleConnections);
        until(
                "no connection but idle ones",
                () -> atCaches.size() <= director.pool.idleConnections() && director.pool.connections() == director.pool.idleConnections());
        assertTrue(idle <= REQUESTS);
    }
}
