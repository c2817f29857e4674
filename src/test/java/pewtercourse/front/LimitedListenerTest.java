package pewtercourse.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pewtercourse.eventloop.ArrivalTracker;
import pewtercourse.eventloop.SocketInput;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LimitedListenerTest {
    private static final long HELD_MS = 300;

    private final FrontTransport transport = new FrontTransport(new LimitedListener(1));
    private final Vertx vertx = Vertx.builder().withTransport(transport).build();
    private final CompletableFuture<Long> waitedMs = new CompletableFuture<>();
    private int port;

    @BeforeEach
    void listen() throws Exception {
        transport.useListenerForNextServer();
        port = vertx.createNetServer()
                .connectHandler(this::echo)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS)
                .actualPort();
    }

    private void echo(NetSocket socket) {
        ArrivalTracker arrivals = SocketInput.trackArrivals(socket);
        socket.handler(bytes -> {
            arrivals.beginReads();
            if (bytes.toString().equals("w")) {
                waitedMs.complete(TimeUnit.NANOSECONDS.toMillis(arrivals.longestWaitNanos()));
            }
            socket.write(bytes);
        });
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    private Socket connect() throws Exception {
        return new Socket(InetAddress.getByName("127.0.0.1"), port);
    }

    // Guards against requests that are lost with their connections, and that count as sent when they are accepted.
    @Test
    void aConnectionOverTheLimitWaitsWithItsRequestUntilAnotherHasClosed() throws Exception {
        try (Socket waiting = holdConnectionAndConnectAnother()) {
            assertEquals('w', waiting.getInputStream().read());
        }
        assertTrue(waitedMs.get(30, TimeUnit.SECONDS) >= HELD_MS, waitedMs.toString());
    }

    private Socket holdConnectionAndConnectAnother() throws Exception {
        try (Socket held = connect()) {
            held.getOutputStream().write('h');
            assertEquals('h', held.getInputStream().read());
            Socket waiting = connect();
            waiting.getOutputStream().write('w');
            TimeUnit.MILLISECONDS.sleep(HELD_MS);
            return waiting;
        }
    }
}
