package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pewtercourse.MonotonicClock;
import pewtercourse.front.Answer;
import pewtercourse.front.Drain;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryLimits;

/** A request has arrived and is not read, as the event loop is busy, when its connection is to be closed. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnreadRequestTest {
    private static final long BUSY_MS = 200;
    private static final int MAX_CONNECTIONS = 2;
    private static final int BEGIN_BODY_BYTES = 8;

    private final FrontTransport transport = new FrontTransport(new LimitedListener(20));
    private final Vertx vertx = Vertx.builder().withTransport(transport).build();
    private final Context loop = vertx.getOrCreateContext();
    private final MonotonicClock clock = new MonotonicClock();
    private volatile Callable<Void> whileHandling = () -> null;
    private FastCgiServer server;
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        transport.useListenerForNextServer();
        CompletableFuture<Integer> port = new CompletableFuture<>();
        loop.runOnContext(v -> {
            server = new FastCgiServer(
                    vertx,
                    (request, client) -> {
                        runWhileHandling();
                        loop.runOnContext(answered -> client.accept(Answer.served(Buffer.buffer("menu"), "tag")));
                        return () -> {};
                    },
                    clock,
                    MAX_CONNECTIONS,
                    new HeldBytes(new MemoryLimits(1 << 20, 4 << 20)));
            server.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                    .onComplete(listening -> port.complete(listening.result().actualPort()));
        });
        address = new InetSocketAddress("127.0.0.1", port.get(30, TimeUnit.SECONDS));
    }

    private void runWhileHandling() {
        Callable<Void> action = whileHandling;
        whileHandling = () -> null;
        try {
            action.call();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() {
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

    private static void request(RawFrontClient client, int number) throws IOException {
        client.write(RawFrontClient.request(1, "page", String.format("%016x", number), 20_000));
    }

    private RawFrontClient connectAndServe(int number) throws IOException {
        RawFrontClient client = new RawFrontClient(address);
        request(client, number);
        assertNotNull(client.readAnswer());
        return client;
    }

    // The event loop reads one connection at length; the timer of another one is due before the next poll.
    @Test
    void aDrainDoesNotCloseAConnectionOverAnUnreadRequest() throws Exception {
        try (RawFrontClient client = connectAndServe(1);
                RawFrontClient other = new RawFrontClient(address)) {
            whileHandling = () -> {
                Drain drain = new Drain();
                drain.begin(Drain.Cause.STANDBY, clock.getAsLong() - TimeUnit.MILLISECONDS.toMicros(1_300));
                server.drain(drain);
                request(client, 2);
                TimeUnit.MILLISECONDS.sleep(BUSY_MS);
                return null;
            };
            request(other, 3);
            assertNotNull(client.readAnswer(), "closed over an unread request");
            assertNotNull(other.readAnswer());
        }
    }

    @Test
    void aRequestWhoseRestHasArrivedUnreadIsNotRejectedAsIncomplete() throws Exception {
        byte[] request = RawFrontClient.request(1, "page", String.format("%016x", 2), 20_000);
        int beginBytes = Record.HEADER_BYTES + BEGIN_BODY_BYTES;
        try (RawFrontClient client = connectAndServe(1);
                RawFrontClient other = connectAndServe(3)) {
            client.write(request, 0, beginBytes);
            TimeUnit.MILLISECONDS.sleep(FastCgiConnection.REQUEST_TIMEOUT_MS - BUSY_MS / 2);
            whileHandling = () -> {
                client.write(request, beginBytes, request.length);
                TimeUnit.MILLISECONDS.sleep(BUSY_MS);
                return null;
            };
            request(other, 4);
            String answer = client.readAnswer();
            assertTrue(answer != null && answer.startsWith("Status: 200"), answer);
            assertNotNull(other.readAnswer());
        }
    }

    @Test
    void anIdleConnectionWithAnUnreadRequestIsNotClosedForANewOne() throws Exception {
        try (RawFrontClient first = connectAndServe(1);
                RawFrontClient second = connectAndServe(2)) {
            CompletableFuture<RawFrontClient> third = new CompletableFuture<>();
            onLoop(() -> {
                request(first, 3);
                request(second, 4);
                third.complete(new RawFrontClient(address));
                TimeUnit.MILLISECONDS.sleep(BUSY_MS);
                return null;
            });
            assertNotNull(first.readAnswer(), "closed over an unread request");
            assertNotNull(second.readAnswer(), "closed over an unread request");
            third.get().close();
        }
    }
}
