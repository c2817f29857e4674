package pewtercourse.front.fastcgi;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.FrontLimits;
import pewtercourse.front.RequestHandler;

/**
 * A connection is closed while bytes of its client stand unread at it, and while most of its last answer is still with the
 * sending system, since the client's window is small. A plain close resets such a connection, and what the client has not
 * received is lost.
 */
class CloseOverUnreadBytesTest {
    private static final int WAIT_SECONDS = 30;
    private static final int SMALL_WINDOW = 4_096;
    private static final int ANSWER_BYTES = 150_000;
    // As much as the systems take while nobody reads.
    private static final int EXCESS_RECORDS = 10, EXCESS_RECORD_BYTES = 30_000, SEND_BUFFER = 400_000;

    private final Vertx vertx = Vertx.vertx();
    private final CountDownLatch answering = new CountDownLatch(1);
    private final CountDownLatch excessWritten = new CountDownLatch(1);
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> new FastCgiServer(
                                vertx,
                                new Crossing(),
                                () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime()),
                                new FrontLimits(20, 1 << 20, 4 << 20))
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                        .onComplete(s -> port.complete(s.result().actualPort())));
        address = new InetSocketAddress("127.0.0.1", port.get(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Answers in a turn of the event loop that lasts until more bytes have come: they stand unread as it closes. */
    private final class Crossing implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
            vertx.runOnContext(v -> {
                answering.countDown();
                awaitExcess();
                answer.accept(Answer.served(Buffer.buffer(body()), "tag"));
            });
            return () -> {};
        }

        private void awaitExcess() {
            try {
                assertTrue(excessWritten.await(WAIT_SECONDS, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String body() {
        return "x".repeat(ANSWER_BYTES);
    }

    /** A request after whose answer the connection ends. */
    private static byte[] lastRequest() {
        byte[] request = RawFrontClient.request(1, "page", "0000000000000001", 20_000);
        request[Record.HEADER + 2] = 0; // Of BEGIN_REQUEST: not kept.
        return request;
    }

    /** Records for no request, as they are legal behind an abort. */
    private static byte[] excess() {
        Buffer bytes = Buffer.buffer();
        for (int i = 0; i < EXCESS_RECORDS; i++) {
            bytes.appendBuffer(Record.encode(Record.STDIN, 7, Buffer.buffer(new byte[EXCESS_RECORD_BYTES])));
        }
        return bytes.getBytes();
    }

    @RepeatedTest(3)
    void theLastAnswerArrivesWholeAndTheConnectionIsNotReset() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address, SMALL_WINDOW, SEND_BUFFER)) {
            client.write(lastRequest());
            assertTrue(answering.await(WAIT_SECONDS, TimeUnit.SECONDS));
            client.write(excess());
            excessWritten.countDown();
            String last = client.readAnswer();
            assertNotNull(last, "ended without its last answer");
            assertTrue(last.endsWith(body()), "not whole: " + last.length());
            assertNull(client.readAnswer(), "closed, and not reset");
        }
    }
}
