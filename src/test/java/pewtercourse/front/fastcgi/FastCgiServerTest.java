package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryLimits;

/** Tests the server on real sockets with clients that close, abort or send too much at an unfavourable time. */
class FastCgiServerTest {
    private static final long NANOS_PER_MICRO = 1_000;
    // The close of a client must be detected within 100 ms; the test allows more for a slow machine.
    private static final long CLOSE_DETECTED_MS = 2_000;

    private final Vertx vertx = Vertx.vertx();
    private final CompletableFuture<Consumer<Answer>> handedOver = new CompletableFuture<>();
    private final CompletableFuture<Void> clientGone = new CompletableFuture<>();
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> new FastCgiServer(
                                vertx,
                                new RequestHandler() {
                                    @Override
                                    public Runnable handle(ClientRequest request, ClientExchange answer) {
                                        handedOver.complete(answer);
                                        return () -> clientGone.complete(null);
                                    }
                                },
                                () -> System.nanoTime() / NANOS_PER_MICRO,
                                20,
                                new HeldBytes(new MemoryLimits(1 << 20, 4 << 20)))
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                        .onComplete(server -> port.complete(server.result().actualPort())));
        address = new InetSocketAddress("127.0.0.1", port.get(30, TimeUnit.SECONDS));
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private static byte[] badRequest(int id) {
        return RawFrontClient.request(id, "", "0000000000000001", 1_500);
    }

    // A plain close over unread bytes reset the connection, and the client lost the answer.
    @Test
    void aClientThatSendsTooMuchGetsAnAnswerAndIsNotReset() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write(Record.encode(Record.BEGIN, 1, Buffer.buffer(new byte[] {0, 1, 0, 0, 0, 0, 0, 0}))
                    .getBytes());
            client.write(Record.encode(Record.PARAMS, 1, Record.pairs(Map.of("SCRIPT_NAME", "/ops/page")))
                    .getBytes());
            client.write(Record.encode(Record.PARAMS, 1, Buffer.buffer()).getBytes());
            byte[] piece = Record.encode(Record.STDIN, 1, Buffer.buffer(new byte[40_000]))
                    .getBytes();
            // Far more than the socket buffers take: some bytes are always unread when the connection is closed.
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < 200; i++) {
                        client.write(piece);
                    }
                } catch (java.io.IOException e) {
                    // Closed meanwhile; the test checks only what the client reads.
                }
            });
            writer.start();
            String answer = client.readAnswer();
            assertNotNull(answer);
            assertTrue(answer.startsWith("Status: 502"), answer);
            assertNull(client.readAnswer(), "closed, not reset");
            client.close();
            writer.join();
        }
    }

    @Test
    void detectsTheCloseOfAClientDuringItsPenalty() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write(RawFrontClient.request(1, "page", "0000000000000001", 20_000));
            handedOver.get(30, TimeUnit.SECONDS);
            for (int id = 2; id < 8; id++) {
                client.write(badRequest(id));
                client.readAnswer();
            }
        }
        long closedAt = System.nanoTime();
        clientGone.get(30, TimeUnit.SECONDS);
        assertTrue((System.nanoTime() - closedAt) / 1_000_000 < CLOSE_DETECTED_MS);
        assertTrue(FastCgiConnection.MAX_PENALTY_MS < 100, "a close is not detected while the connection is not read");
    }

    @Test
    void handlesAnAbortAfterOtherRequests() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write(RawFrontClient.request(1, "page", "0000000000000001", 20_000));
            handedOver.get(30, TimeUnit.SECONDS);
            Buffer commands = Buffer.buffer();
            for (int id = 2; id < 12; id++) {
                commands.appendBytes(
                        RawFrontClient.request(id, "page", "000000000000000" + Integer.toHexString(id), 20_000));
            }
            client.write(commands.appendBytes(RawFrontClient.abort(1)).getBytes());
            clientGone.get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void closesTheConnectionAtOnceOnBytesThatAreNotRecords() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            assertEquals(-1, client.input().read());
        }
    }

    @Test
    void closesAUsedConnectionWithinThreeSecondsOfStrayRecords() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write(RawFrontClient.request(1, "page", "0000000000000001", 20_000));
            handedOver.get(30, TimeUnit.SECONDS).accept(Answer.refused(50));
            assertTrue(client.readAnswer().startsWith("Status: 503"));
            byte[] strayRecord =
                    Record.encode(Record.STDIN, 7, Buffer.buffer(new byte[100])).getBytes();
            long startNanos = System.nanoTime();
            long endNanos = startNanos + TimeUnit.SECONDS.toNanos(10);
            while (System.nanoTime() < endNanos) {
                try {
                    client.write(strayRecord);
                    Thread.sleep(20); // A slow sequence of records, until the connection is closed.
                } catch (java.io.IOException e) {
                    break;
                }
            }
            long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(tookMs < 3_000, "closed after " + tookMs + " ms");
        }
    }

    @Test
    void closesAUsedConnectionWithinThreeSecondsOfAnIncompleteRecord() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address)) {
            client.write(RawFrontClient.request(1, "page", "0000000000000001", 20_000));
            handedOver.get(30, TimeUnit.SECONDS).accept(Answer.refused(50));
            assertTrue(client.readAnswer().startsWith("Status: 503"));
            byte[] request = RawFrontClient.request(2, "page", "0000000000000002", 20_000);
            long startNanos = System.nanoTime();
            client.write(request, 0, 13);
            assertEquals(-1, client.input().read());
            long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(tookMs < 3_000, "closed after " + tookMs + " ms");
        }
    }
}
