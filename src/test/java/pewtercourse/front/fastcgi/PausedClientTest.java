package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pewtercourse.MonotonicClock;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryLimits;

/** The connection of a client is not read for a while after malformed requests, while an earlier request is open. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PausedClientTest {
    private static final int MALFORMED_REQUESTS = 3; // The pause is longest after the third one.
    private static final long WITHIN_PAUSE_MS = FastCgiConnection.MAX_PENALTY_MS / 2;

    private final FrontTransport transport = new FrontTransport(new LimitedListener(20));
    private final Vertx vertx = Vertx.builder().withTransport(transport).build();
    private final Context loop = vertx.getOrCreateContext();
    private final MonotonicClock clock = new MonotonicClock();
    private final List<ClientRequest> requests = new ArrayList<>();
    private final List<ClientExchange> exchanges = new ArrayList<>();
    private final CompletableFuture<Void> clientLeft = new CompletableFuture<>();
    private RawFrontClient client;

    @BeforeEach
    void openARequestAndSendMalformedOnes() throws Exception {
        transport.useListenerForNextServer();
        CompletableFuture<Integer> port = new CompletableFuture<>();
        loop.runOnContext(v -> new FastCgiServer(
                        vertx, this::handle, clock, 10, new HeldBytes(new MemoryLimits(1 << 20, 4 << 20)))
                .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                .onComplete(listening -> port.complete(listening.result().actualPort())));
        client = new RawFrontClient(new InetSocketAddress("127.0.0.1", port.get(30, TimeUnit.SECONDS)));
        client.write(RawFrontClient.request(1, "page", String.format("%016x", 1), 20_000));
        for (int i = 0; i < MALFORMED_REQUESTS; i++) {
            client.write(RawFrontClient.request(2, Map.of("SCRIPT_NAME", "/ops/page")));
            assertNotNull(client.readAnswer());
        }
    }

    private Runnable handle(ClientRequest request, ClientExchange exchange) {
        requests.add(request);
        exchanges.add(exchange);
        return () -> clientLeft.complete(null);
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        vertx.close();
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.runOnContext(v -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(30, TimeUnit.SECONDS);
    }

    // Guards against an attempt for a client whose end stands behind other bytes.
    @Test
    void anEndBehindOtherBytesIsReadBeforeAnAttempt() throws Exception {
        byte[] request = RawFrontClient.request(3, "page", String.format("%016x", 3), 20_000);
        assertTrue(onLoop(() -> {
            client.write(request, 0, request.length / 2);
            client.close();
            exchanges.get(0).readArrived();
            return clientLeft.isDone();
        }));
    }

    // Guards against a request that counts as sent later than it was, as its connection was not polled.
    @Test
    void aRequestThatIsReadDuringAPauseCountsFromItsArrival() throws Exception {
        client.write(RawFrontClient.request(3, "page", String.format("%016x", 3), 20_000));
        long writtenAt = clock.getAsLong();
        TimeUnit.MILLISECONDS.sleep(WITHIN_PAUSE_MS);
        onLoop(() -> {
            exchanges.get(0).readArrived();
            return null;
        });
        while (onLoop(requests::size) < 2) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertTrue(onLoop(() -> requests.get(1)).arrivedAtMicros() <= writtenAt);
    }
}
