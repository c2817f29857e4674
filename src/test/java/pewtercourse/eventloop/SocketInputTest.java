package pewtercourse.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pewtercourse.Timers;
import pewtercourse.front.FrontTransport;
import pewtercourse.front.LimitedListener;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SocketInputTest {
    private static final long BLOCKED_MS = 300;

    private final FrontTransport transport = new FrontTransport(new LimitedListener(10));
    private final Vertx vertx = Vertx.builder().withTransport(transport).build();
    private final CompletableFuture<NetSocket> accepted = new CompletableFuture<>();
    private final List<Buffer> received = new ArrayList<>();
    private final List<Long> waitedMs = new ArrayList<>();
    private ArrivalTracker arrivals;
    private Socket client;
    private int port;

    @BeforeEach
    void listen() throws Exception {
        transport.useListenerForNextServer();
        port = vertx.createNetServer()
                .connectHandler(this::accept)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS)
                .actualPort();
    }

    private void accept(NetSocket socket) {
        arrivals = SocketInput.trackArrivals(socket);
        socket.handler(bytes -> {
            arrivals.beginReads();
            received.add(bytes);
            waitedMs.add(TimeUnit.NANOSECONDS.toMillis(arrivals.longestWaitNanos()));
        });
        accepted.complete(socket);
    }

    private NetSocket connect() throws Exception {
        client = new Socket(InetAddress.getByName("127.0.0.1"), port);
        client.setTcpNoDelay(true);
        return accepted.get(30, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    private <T> T onLoop(NetSocket socket, Callable<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        ((io.vertx.core.internal.net.NetSocketInternal) socket)
                .channelHandlerContext()
                .channel()
                .eventLoop()
                .execute(() -> {
                    try {
                        result.complete(action.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get(30, TimeUnit.SECONDS);
    }

    private void write(String text) throws IOException {
        client.getOutputStream().write(text.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    }

    @Test
    void readsWhatHasArrivedWhileATaskRuns() throws Exception {
        NetSocket socket = connect();
        assertTrue(onLoop(socket, () -> {
            write("abort");
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            assertEquals(List.of(), received);
            return SocketInput.readArrived(socket, () -> true);
        }));
        assertEquals("abort", received.get(0).toString());
    }

    @Test
    void noticesAnEndThatHasArrivedWhileATaskRuns() throws Exception {
        NetSocket socket = connect();
        assertFalse(onLoop(socket, () -> {
            client.close();
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            return SocketInput.readArrived(socket, () -> true);
        }));
    }

    @Test
    void anActionAfterReadsFindsWhatHasArrivedWhileATaskRan() throws Exception {
        NetSocket socket = connect();
        CompletableFuture<Integer> found = new CompletableFuture<>();
        onLoop(socket, () -> {
            Timers.of(vertx).afterReads(() -> found.complete(received.size()));
            write("abort");
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            return null;
        });
        assertEquals(1, found.get(30, TimeUnit.SECONDS));
    }

    // Guards against an attempt after a stop of the process that does not wait for a poll.
    @Test
    void tellsSinceWhenNothingWasReadWhileATaskRuns() throws Exception {
        NetSocket socket = connect();
        long unreadMicros = onLoop(socket, () -> {
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            return Timers.of(vertx).maxUnreadMicros();
        });
        assertTrue(unreadMicros >= TimeUnit.MILLISECONDS.toMicros(BLOCKED_MS), unreadMicros + " us");
        CompletableFuture<Long> afterReads = new CompletableFuture<>();
        onLoop(socket, () -> {
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            Timers timers = Timers.of(vertx);
            timers.afterReads(() -> afterReads.complete(timers.maxUnreadMicros()));
            return null;
        });
        assertTrue(afterReads.get(30, TimeUnit.SECONDS) < TimeUnit.MILLISECONDS.toMicros(BLOCKED_MS));
    }

    @Test
    void readsOnAfterAReadThatFoundNothing() throws Exception {
        NetSocket socket = connect();
        assertTrue(onLoop(socket, () -> SocketInput.readArrived(socket, () -> true)));
        write("later");
        while (onLoop(socket, received::isEmpty)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void tellsThatBytesMayHaveWaitedWhileTheEventLoopWasBlocked() throws Exception {
        NetSocket socket = connect();
        onLoop(socket, () -> {
            write("late");
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            return null;
        });
        while (onLoop(socket, received::isEmpty)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(waitedMs.get(0) >= BLOCKED_MS, waitedMs.toString());
    }

    @Test
    void bytesThatAreReadAtOnceCountAsWaitedForOnePollAtMost() throws Exception {
        NetSocket socket = connect();
        for (int i = 0; i < 20; i++) {
            TimeUnit.MILLISECONDS.sleep(30);
            int before = onLoop(socket, received::size);
            write("soon");
            while (onLoop(socket, received::size) == before) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
        assertTrue(waitedMs.stream().mapToLong(ms -> ms).min().orElseThrow() < 40, waitedMs.toString());
    }

    @Test
    void bytesOfANewConnectionMayHaveWaitedSinceTheLastOneWasAccepted() throws Exception {
        connect().close();
        CompletableFuture<Socket> second = new CompletableFuture<>();
        onLoop(accepted.get(), () -> {
            Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.getOutputStream().write('x');
            second.complete(socket);
            TimeUnit.MILLISECONDS.sleep(BLOCKED_MS);
            return null;
        });
        while (onLoop(accepted.get(), received::isEmpty)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        second.get().close();
        assertTrue(waitedMs.get(0) >= BLOCKED_MS, waitedMs.toString());
    }
}
