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
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.ReadControl;

/**
 * Sends requests to caches that fail in many ways, while some clients disconnect: each request is answered
 * once, and in the end no request, busy connection or timer is left. The caches are real sockets; their
 * failures are drawn from a seed.
 */
class StormTest {
    private static final int REQUESTS = 400;
    private static final int WAIT_SECONDS = 60;
    private static final int ARRIVAL_SPREAD_MS = 400;
    // For runs in which caches may stay silent.
    private static final double SHORT_DEADLINE_MS = 400;
    // For the other runs: longer than a test waits, so that a test notices a timer that was not cancelled.
    private static final double LONG_DEADLINE_MS = 600_000;
    // The periodic timer of the router.
    private static final int ROUTER_TIMERS = 1;

    private final Vertx vertx = Vertx.vertx();
    private final Set<NetSocket> cacheSockets = new HashSet<>();
    private CountingTimers timers;
    private Director director;
    private int answers;
    private boolean cachesMayStaySilent;

    /** Keeps the ids of the timers that have neither fired nor been cancelled. */
    private static final class CountingTimers implements Timers {
        private final Timers delegate;
        private final Set<Long> pending = new HashSet<>();

        CountingTimers(Timers delegate) {
            this.delegate = delegate;
        }

        @Override
        public long set(long delayMs, Runnable task) {
            long[] id = new long[1];
            id[0] = delegate.set(delayMs, () -> {
                pending.remove(id[0]);
                task.run();
            });
            pending.add(id[0]);
            return id[0];
        }

        @Override
        public void cancel(long timer) {
            pending.remove(timer);
            delegate.cancel(timer);
        }

        @Override
        public void afterReads(Runnable task) {
            delegate.afterReads(task);
        }
    }

    private <T> T onLoop(Supplier<T> code) throws Exception {
        return EventLoopCalls.call(vertx, code);
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
            HeldBytes held = new HeldBytes(config.memoryLimits());
            Director started =
                    new Director(vertx, config, held, new HttpTransport(vertx, new ReadControl(held)), timers);
            started.start();
            return started;
        });
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private void accept(NetSocket socket) {
        cacheSockets.add(socket);
        socket.closeHandler(v -> cacheSockets.remove(socket));
        socket.exceptionHandler(e -> {});
        socket.handler(request -> misbehave(socket, new Random(request.hashCode() + cacheSockets.size())));
    }

    private void misbehave(NetSocket socket, Random random) {
        String response = "HTTP/1.1 200 OK\r\nETag: t\r\nOutcome: mem\r\nContent-Length: 4\r\n\r\nmenu";
        switch (random.nextInt(9)) {
            case 0 -> socket.write("HTTP/1.1 503 Service Unavailable\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n");
            case 1 -> stopResponding(socket.write("HTTP/1.1 200 O"), socket);
            case 2 -> socket.end(Buffer.buffer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"));
            case 3 -> socket.close();
            case 4 -> socket.write(response + response);
            case 5 -> socket.write("noise\r\n\r\n");
            case 6 -> socket.end(Buffer.buffer(response));
            case 7 -> stopResponding(Future.succeededFuture(), socket);
            default -> socket.write(response);
        }
    }

    // Stays silent from now on, or closes the connection, by the kind of run.
    private void stopResponding(Future<Void> written, NetSocket socket) {
        if (!cachesMayStaySilent) {
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
                null,
                false,
                Buffer.buffer(),
                director.clock().getAsLong(),
                cachesMayStaySilent ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS);
    }

    /** Sends the requests; some clients disconnect soon after. Returns the number of those that do not. */
    private int sendRequests(Random random) {
        int remainingClients = 0;
        for (int i = 0; i < REQUESTS; i++) {
            ClientRequest request = request(i, random);
            int arrivalMs = random.nextInt(ARRIVAL_SPREAD_MS);
            boolean disconnects = random.nextInt(5) == 0;
            remainingClients += disconnects ? 0 : 1;
            vertx.setTimer(1 + arrivalMs, t -> {
                Runnable onDisconnect = director.handle(request, answer -> answers += disconnects ? 0 : 1);
                if (disconnects) {
                    vertx.setTimer(1 + arrivalMs % 40, u -> onDisconnect.run());
                }
            });
        }
        return remainingClients;
    }

    private void waitFor(String what, Supplier<Boolean> condition) throws Exception {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!onLoop(condition)) {
            assertTrue(
                    System.nanoTime() < giveUpAt,
                    () -> "timed out waiting for " + what + "; open " + director.openRequests() + ", timers "
                            + timers.pending.size() + ", answers " + answers + ", connections " + cacheSockets.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "2, false", "3, false"})
    void answersEachRequestOnceAndLeavesNothingOpen(long seed, boolean mayStaySilent) throws Exception {
        onLoop(() -> cachesMayStaySilent = mayStaySilent);
        int remainingClients = onLoop(() -> sendRequests(new Random(seed)));
        waitFor(
                "an answer for each client that stayed",
                () -> answers >= remainingClients && director.openRequests() == 0);
        waitFor("no timer but the router's", () -> timers.pending.size() <= ROUTER_TIMERS);
        assertEquals(remainingClients, answers, "one answer for each client that stayed");
        assertEquals(0, onLoop(director::openRequests));
        int idle = onLoop(director.pool::idleConnections);
        waitFor(
                "only idle connections",
                () -> cacheSockets.size() <= director.pool.idleConnections()
                        && director.pool.connections() == director.pool.idleConnections());
        assertTrue(idle <= REQUESTS);
    }
}
