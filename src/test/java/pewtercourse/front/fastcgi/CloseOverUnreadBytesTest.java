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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryLimits;

/**
 * The server closes a connection while bytes from the client are unread, and while most of the last answer is still in the
 * send buffer because the client's window is small. A plain close would reset the connection, and the client would lose the
 * part of the answer that it has not received.
 */
class CloseOverUnreadBytesTest {
    private static final int WAIT_SECONDS = 30;
    private static final int SMALL_WINDOW_BYTES = 4_096;
    private static final int ANSWER_BYTES = 150_000;
    // The socket buffers take this much while the server does not read.
    private static final int STRAY_RECORDS = 10;
    private static final int STRAY_RECORD_BYTES = 30_000;
    private static final int SEND_BUFFER_BYTES = 400_000;

    private final Vertx vertx = Vertx.vertx();
    private final CountDownLatch answerStarted = new CountDownLatch(1);
    private final CountDownLatch strayRecordsWritten = new CountDownLatch(1);
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.getOrCreateContext()
                .runOnContext(v -> new FastCgiServer(
                                vertx,
                                new LateAnsweringHandler(),
                                () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime()),
                                20,
                                new HeldBytes(new MemoryLimits(1 << 20, 4 << 20)))
                        .listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                        .onComplete(server -> port.complete(server.result().actualPort())));
        address = new InetSocketAddress("127.0.0.1", port.get(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Blocks the event loop until stray records have arrived, then answers: they are unread when the connection closes. */
    private final class LateAnsweringHandler implements RequestHandler {
        @Override
        public Runnable handle(ClientRequest request, ClientExchange answer) {
            vertx.runOnContext(v -> {
                answerStarted.countDown();
                awaitStrayRecords();
                answer.accept(Answer.served(Buffer.buffer(answerBody()), "tag"));
            });
            return () -> {};
        }

        private void awaitStrayRecords() {
            try {
                assertTrue(strayRecordsWritten.await(WAIT_SECONDS, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String answerBody() {
        return "x".repeat(ANSWER_BYTES);
    }

    /** A request without the flag KEEP_CONN: the server closes the connection after the answer. */
    private static byte[] lastRequest() {
        byte[] request = RawFrontClient.request(1, "page", "0000000000000001", 20_000);
        request[Record.HEADER_BYTES + 2] = 0; // The flags of BEGIN_REQUEST.
        return request;
    }

    /** Records without an open request, which are legal after an abort. */
    private static byte[] strayRecords() {
        Buffer bytes = Buffer.buffer();
        for (int i = 0; i < STRAY_RECORDS; i++) {
            bytes.appendBuffer(Record.encode(Record.STDIN, 7, Buffer.buffer(new byte[STRAY_RECORD_BYTES])));
        }
        return bytes.getBytes();
    }

    @RepeatedTest(3)
    void lastAnswerArrivesCompleteAndTheConnectionIsNotReset() throws Exception {
        try (RawFrontClient client = new RawFrontClient(address, SMALL_WINDOW_BYTES, SEND_BUFFER_BYTES)) {
            client.write(lastRequest());
            assertTrue(answerStarted.await(WAIT_SECONDS, TimeUnit.SECONDS));
            client.write(strayRecords());
            strayRecordsWritten.countDown();
            String lastAnswer = client.readAnswer();
            assertNotNull(lastAnswer, "closed without the last answer");
            assertTrue(lastAnswer.endsWith(answerBody()), "incomplete, length " + lastAnswer.length());
            assertNull(client.readAnswer(), "closed, not reset");
        }
    }
}
