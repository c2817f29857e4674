package pewtercourse.backlog;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;
import pewtercourse.emulator.Catalogue;
import pewtercourse.front.fastcgi.FastCgiClient;

/**
 * Clients that send requests in an open loop on kept connections and leave when their time is over. Confined to an event
 * loop of their own; times are microseconds.
 */
final class BacklogClients {
    private record IdleConnection(FastCgiClient connection, long since) {}

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_CONNECTIONS = 300;
    /** A director that is behind still holds a connection that its client has closed. */
    private static final long CLOSED_CONNECTION_HELD_MS = 2_000;

    /** Clients close a connection that has been idle for this time. */
    private static final long MAX_IDLE = 4_000_000;

    /** A request that crosses the end of a kept connection within this time is sent again, once. */
    private static final long CROSSING = 50_000;

    private static final int OBJECTS = 200;

    private final Vertx vertx;
    private final SocketAddress director;
    private final BacklogPlan plan;
    private final BacklogOracle oracle;
    private final LongSupplier clock;
    private final Random random;
    private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>(); // The most recently used one first.
    private int connections;
    private int open;
    private int sent;
    private long startedAt;

    BacklogClients(Vertx vertx, SocketAddress director, BacklogPlan plan, BacklogOracle oracle, LongSupplier clock) {
        this.vertx = vertx;
        this.director = director;
        this.plan = plan;
        this.oracle = oracle;
        this.clock = clock;
        this.random = new Random(plan.seed());
    }

    /** Begins the load. */
    void start() {
        startedAt = clock.getAsLong();
        vertx.setPeriodic(1, timer -> {
            long elapsed = clock.getAsLong() - startedAt;
            long due = Math.min(total(), elapsed * plan.load().requestsPerSecond() / 1_000_000);
            while (sent < due) {
                sent++;
                sendNext();
            }
        });
    }

    private long total() {
        return (long) plan.load().requestsPerSecond() * plan.load().seconds();
    }

    /** Whether all requests were sent and have ended. */
    boolean isFinished() {
        return sent >= total() && open == 0;
    }

    private void sendNext() {
        open++;
        FastCgiClient kept = pollIdle();
        String id = String.format("%016x", random.nextLong());
        if (kept != null) {
            send(id, kept, true);
        } else {
            connectAndSend(id);
        }
    }

    private void connectAndSend(String id) {
        if (connections >= MAX_CONNECTIONS) {
            open--;
            return;
        }
        connections++;
        FastCgiClient.connect(vertx, director)
                .onSuccess(connection -> send(id, connection, false))
                .onFailure(e -> {
                    connections--;
                    open--;
                });
    }

    private FastCgiClient pollIdle() {
        while (!idle.isEmpty() && clock.getAsLong() - idle.peekLast().since() > MAX_IDLE) {
            idle.pollLast().connection().close();
            connections--;
        }
        while (!idle.isEmpty()) {
            FastCgiClient connection = idle.pollFirst().connection();
            if (!connection.isClosed()) {
                return connection;
            }
            connections--;
        }
        return null;
    }

    private void keepIdle(FastCgiClient connection) {
        idle.addFirst(new IdleConnection(connection, clock.getAsLong()));
    }

    private void send(String id, FastCgiClient connection, boolean kept) {
        long sentAt = clock.getAsLong();
        long deadline = plan.load().deadlineMs() * MICROS_PER_MILLI;
        boolean[] ended = new boolean[1];
        oracle.requestSent(id, sentAt, deadline);
        connection.send(params(id)).onComplete(result -> {
            if (ended[0]) {
                onEndAfterLeave(connection, result.succeeded());
                return;
            }
            ended[0] = true;
            if (result.failed() && kept && clock.getAsLong() - sentAt <= CROSSING) {
                connections--;
                connectAndSend(id);
                return;
            }
            open--;
            if (result.succeeded()) {
                oracle.answered(id, clock.getAsLong(), statusOf(result.result()));
                keepIdle(connection);
            } else {
                connections--;
                oracle.unanswered(id, clock.getAsLong(), result.cause().getMessage());
            }
        });
        boolean leavesEarly = random.nextDouble() < plan.leaving().earlyShare();
        long patienceMs = leavesEarly
                ? 1 + random.nextInt(plan.load().deadlineMs())
                : plan.load().deadlineMs();
        vertx.setTimer(patienceMs, timer -> {
            if (!ended[0]) {
                ended[0] = true;
                open--;
                leave(id, connection);
            }
        });
    }

    // After an abort the connection is used again once the director has ended the request.
    private void onEndAfterLeave(FastCgiClient connection, boolean usable) {
        if (usable && plan.leaving().way() == BacklogPlan.Way.ABORT) {
            keepIdle(connection);
        }
    }

    private void leave(String id, FastCgiClient connection) {
        if (plan.leaving().way() == BacklogPlan.Way.ABORT) {
            connection.abort();
        } else {
            vertx.setTimer(CLOSED_CONNECTION_HELD_MS, timer -> connections--);
            connection.close();
        }
        oracle.clientLeft(id, clock.getAsLong());
    }

    private static String statusOf(Buffer answer) {
        String text = answer.toString("ISO-8859-1");
        return text.startsWith("Status: ") ? text.substring(8, 11) : "none";
    }

    private Map<String, String> params(String id) {
        return Map.of(
                "SCRIPT_NAME",
                "/ops/menu-page",
                "REQUEST_METHOD",
                "GET",
                "HTTP_X_CORRELATION_ID",
                id,
                "HTTP_X_SUBJECT",
                String.format("%016x", random.nextInt(OBJECTS)),
                "HTTP_X_TAG",
                "17",
                "HTTP_X_CHUNK",
                "0",
                "HTTP_X_NEED_KB",
                String.valueOf(Catalogue.KB_PER_MS * plan.cacheDelayMs()),
                "HTTP_X_DEADLINE_MS",
                String.valueOf(plan.load().deadlineMs()));
    }
}
