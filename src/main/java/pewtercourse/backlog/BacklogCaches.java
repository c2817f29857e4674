package pewtercourse.backlog;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Caches that answer each request after a fixed time, and record when it came. Confined to an event loop of their own. */
final class BacklogCaches {
    private static final String HOST = "127.0.0.1";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String BODY = "menu";
    private static final long DELAY_CHECK_MS = 5;
    private static final long DELAY_MEMORY = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Vertx vertx;
    private final BacklogOracle oracle;
    private final LongSupplier clock;
    private final int responseDelayMs;
    private final List<Integer> ports = new ArrayList<>();
    private long observerDelay;
    private long observerDelayAt;

    BacklogCaches(Vertx vertx, BacklogOracle oracle, LongSupplier clock, int responseDelayMs) {
        this.vertx = vertx;
        this.oracle = oracle;
        this.clock = clock;
        this.responseDelayMs = responseDelayMs;
        watchDelay(clock.getAsLong());
    }

    // How late this event loop itself was in the last second.
    private void watchDelay(long expectedAt) {
        long now = clock.getAsLong();
        if (now - expectedAt > observerDelay || now - observerDelayAt > DELAY_MEMORY) {
            observerDelay = Math.max(0, now - expectedAt);
            observerDelayAt = now;
        }
        long nextAt = now + DELAY_CHECK_MS * MICROS_PER_MILLI;
        vertx.setTimer(DELAY_CHECK_MS, timer -> watchDelay(nextAt));
    }

    /** Opens the listening sockets. */
    Future<Void> listen(int count) {
        List<Future<Void>> listening = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            listening.add(vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                    .connectHandler(socket -> new CacheConnection(socket))
                    .listen(0, HOST)
                    .onSuccess(server -> ports.add(server.actualPort()))
                    .mapEmpty());
        }
        return Future.all(listening).mapEmpty();
    }

    /** The addresses of the caches. */
    List<String> addresses() {
        return ports.stream().map(port -> HOST + ':' + port).toList();
    }

    private final class CacheConnection {
        private final NetSocket socket;
        private String unread = "";

        CacheConnection(NetSocket socket) {
            this.socket = socket;
            socket.handler(this::read);
            socket.exceptionHandler(e -> socket.close());
        }

        private void read(Buffer bytes) {
            unread += bytes.toString("ISO-8859-1");
            for (int end = unread.indexOf(END_OF_HEAD); end >= 0; end = unread.indexOf(END_OF_HEAD)) {
                String head = unread.substring(0, end);
                unread = unread.substring(end + END_OF_HEAD.length());
                long timeoutMicros = Long.parseLong(field(head, "Timeout-Ms")) * MICROS_PER_MILLI;
                oracle.attemptArrived(field(head, "Request-Id"), clock.getAsLong(), timeoutMicros, observerDelay);
                vertx.setTimer(responseDelayMs, timer -> respond(head));
            }
        }

        private void respond(String head) {
            socket.write("HTTP/1.1 200 OK\r\nETag: t" + field(head, "GET").hashCode()
                    + "\r\nOutcome: mem\r\nContent-Length: " + BODY.length() + END_OF_HEAD + BODY);
        }

        private static String field(String head, String name) {
            for (String line : head.split("\r\n")) {
                if (line.startsWith(name)) {
                    return line.substring(name.length())
                            .replaceFirst("^: ?", "")
                            .strip();
                }
            }
            return "0";
        }
    }
}
