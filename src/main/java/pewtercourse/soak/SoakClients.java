package pewtercourse.soak;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;
import pewtercourse.emulator.Catalogue;
import pewtercourse.front.fastcgi.FastCgiClient;

/**
 * The clients of one director. They send requests in an open loop, on kept connections, until its last moment, and report
 * to the oracle. Confined to one event loop; times are microseconds.
 */
final class SoakClients {
    private static final int MAX_CONNECTIONS = 150;
    /** A request that crosses the end of a kept connection within this time is sent again, once. */
    private static final long CROSSING = 50_000;
    /** New connections keep coming for this long after SIGTERM. */
    private static final long NEW_CONNECTIONS_AFTER_TERM = 300_000;

    /** SIGKILL at its earliest moment excuses the requests that came within this time after SIGTERM. */
    private static final long KILL_EXCUSES = 700_000;

    private static final long MAX_IDLE = 4_000_000;
    /** Short deadlines are drawn from this time to twice as much. */
    private static final int MIN_DEADLINE_MS = 300;

    private static final double SHARE_OF_SHORT_DEADLINES = 0.25;
    private static final long MICROS_PER_MILLI = 1_000;

    private record IdleConnection(FastCgiClient connection, long since) {}

    /** One request from its first sending to its end. */
    private static final class Exchange {
        final Catalogue.DrawnRequest request;
        final String id;
        final long deadlineMs;
        long sentAt;
        boolean resent;
        boolean ended;
        boolean aborted;
        long timeoutTimer;

        Exchange(Catalogue.DrawnRequest request, String id, long deadlineMs) {
            this.request = request;
            this.id = id;
            this.deadlineMs = deadlineMs;
        }
    }

    private final Vertx vertx;
    private final DirectorInstance director;
    private final SoakOracle oracle;
    private final LongSupplier clock;
    private final LongSupplier slack;
    private final Catalogue catalogue;
    private final Random random;
    private final double requestsPerSecond;
    private final NetClient crowdClient;
    private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
    private final List<String> recentObjects = new ArrayList<>();
    private int connections;
    private int open;
    private boolean stopped;
    private long leaveUntil;

    SoakClients(
            Vertx vertx,
            DirectorInstance director,
            SoakOracle oracle,
            LongSupplier clock,
            LongSupplier slack,
            long seed,
            double requestsPerSecond) {
        this.vertx = vertx;
        this.director = director;
        this.oracle = oracle;
        this.clock = clock;
        this.slack = slack;
        this.catalogue = new Catalogue(seed, 400);
        this.random = new Random(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.crowdClient = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    void start() {
        long gapMs = Math.max(1, Math.round(catalogue.gapMs(requestsPerSecond)));
        vertx.setTimer(gapMs, timer -> {
            if (!stopped) {
                start();
                sendNext();
            }
        });
    }

    void stop() {
        stopped = true;
    }

    int open() {
        return open;
    }

    /** Objects that were asked for lately. */
    List<String> recentObjects() {
        return recentObjects;
    }

    /** Lets clients leave early until then. */
    void leaveUntil(long time) {
        leaveUntil = time;
    }

    /** Opens idle connections and closes them again. */
    void crowd(int count, long lengthMs) {
        for (int i = 0; i < count; i++) {
            crowdClient.connect(address()).onSuccess(socket -> vertx.setTimer(lengthMs, timer -> socket.close()));
        }
    }

    private SocketAddress address() {
        int colon = director.listen.indexOf(':');
        return SocketAddress.inetSocketAddress(
                Integer.parseInt(director.listen.substring(colon + 1)), director.listen.substring(0, colon));
    }

    private boolean maySend() {
        return director.state == DirectorInstance.State.READY || director.state == DirectorInstance.State.TERMINATING;
    }

    private boolean mayConnect() {
        return director.state == DirectorInstance.State.READY
                || director.state == DirectorInstance.State.TERMINATING
                        && clock.getAsLong() < director.terminatedAt + NEW_CONNECTIONS_AFTER_TERM;
    }

    private void sendNext() {
        if (!maySend()) {
            return;
        }
        Catalogue.DrawnRequest request = catalogue.next();
        if (!request.requestClass().uncacheable() && recentObjects.size() < 64) {
            recentObjects.add(request.object());
        }
        Exchange exchange = new Exchange(request, String.format("%016x", random.nextLong()), drawDeadlineMs(request));
        IdleConnection kept = pollIdle();
        if (kept != null) {
            send(exchange, kept.connection(), true);
        } else {
            connectAndSend(exchange);
        }
    }

    private long drawDeadlineMs(Catalogue.DrawnRequest request) {
        return random.nextDouble() < SHARE_OF_SHORT_DEADLINES
                ? MIN_DEADLINE_MS + random.nextInt(MIN_DEADLINE_MS)
                : (long) request.requestClass().deadlineMs();
    }

    private IdleConnection pollIdle() {
        while (!idle.isEmpty() && clock.getAsLong() - idle.peekLast().since() > MAX_IDLE) {
            idle.pollLast().connection().close();
            connections--;
        }
        return idle.pollFirst();
    }

    private void connectAndSend(Exchange exchange) {
        if (!mayConnect() || connections >= MAX_CONNECTIONS) {
            oracle.excused(exchange.id);
            return;
        }
        connections++;
        FastCgiClient.connect(vertx, address())
                .onSuccess(connection -> send(exchange, connection, false))
                .onFailure(e -> {
                    connections--;
                    oracle.count("refused connections");
                    oracle.excused(exchange.id);
                });
    }

    private void send(Exchange exchange, FastCgiClient connection, boolean kept) {
        long deadline = exchange.deadlineMs * MICROS_PER_MILLI;
        exchange.sentAt = clock.getAsLong();
        open++;
        oracle.requestSent(exchange.id, director.number, exchange.sentAt, deadline, exchange.request.object());
        long patienceMs = (deadline + SoakOracle.LATE_ANSWER) / MICROS_PER_MILLI + 1_500;
        exchange.timeoutTimer = vertx.setTimer(patienceMs, timer -> end(exchange, connection, "no answer in time"));
        connection.send(params(exchange)).onComplete(result -> {
            if (exchange.ended) {
                onEndAfterLeave(exchange, connection, result.succeeded());
                return;
            }
            if (result.failed()) {
                onClosed(exchange, connection, kept);
                return;
            }
            finish(exchange);
            oracle.count(kindOf(result.result().toString()));
            oracle.answered(exchange.id, clock.getAsLong(), slack.getAsLong());
            idle.addFirst(new IdleConnection(connection, clock.getAsLong()));
        });
        if (clock.getAsLong() < leaveUntil && random.nextInt(2) == 0) {
            vertx.setTimer(1 + random.nextInt(250), timer -> leave(exchange, connection));
        } else if (random.nextInt(2) == 0) {
            vertx.setTimer(exchange.deadlineMs, timer -> leave(exchange, connection));
        }
    }

    // After an abort the connection is used again once the director has ended the request.
    private void onEndAfterLeave(Exchange exchange, FastCgiClient connection, boolean usable) {
        if (!exchange.aborted) {
            return;
        }
        if (usable) {
            idle.addFirst(new IdleConnection(connection, clock.getAsLong()));
        } else {
            connections--;
        }
    }

    private static String kindOf(String answer) {
        return answer.startsWith("Status: 200") ? "served" : answer.startsWith("Status: 503") ? "rejected" : "failed";
    }

    private void leave(Exchange exchange, FastCgiClient connection) {
        if (!exchange.ended) {
            finish(exchange);
            oracle.count("clients that left");
            oracle.clientLeft(exchange.id, clock.getAsLong());
            exchange.aborted = random.nextBoolean();
            if (exchange.aborted) {
                connection.abort();
            } else {
                connections--;
                connection.close();
            }
        }
    }

    private void finish(Exchange exchange) {
        exchange.ended = true;
        open--;
        vertx.cancelTimer(exchange.timeoutTimer);
    }

    private void end(Exchange exchange, FastCgiClient connection, String why) {
        finish(exchange);
        connections--;
        connection.close();
        boolean excusedByKill = director.killedAfterTerm && exchange.sentAt <= director.terminatedAt + KILL_EXCUSES;
        if (director.state == DirectorInstance.State.KILLED || excusedByKill) {
            oracle.excused(exchange.id);
        } else {
            oracle.unanswered(exchange.id, clock.getAsLong(), why);
        }
    }

    private void onClosed(Exchange exchange, FastCgiClient connection, boolean kept) {
        boolean crossing = kept && clock.getAsLong() - exchange.sentAt <= CROSSING + slack.getAsLong();
        if (crossing && !exchange.resent) {
            finish(exchange);
            connections--;
            oracle.excused(exchange.id);
            oracle.count("requests sent again");
            Exchange again = new Exchange(exchange.request, exchange.id, exchange.deadlineMs);
            again.resent = true;
            connectAndSend(again);
        } else {
            end(exchange, connection, "connection closed");
        }
    }

    private static Map<String, String> params(Exchange exchange) {
        Map<String, String> params = new HashMap<>();
        params.put("SCRIPT_NAME", "/ops/" + exchange.request.requestClass().name());
        params.put("REQUEST_METHOD", "GET");
        params.put("HTTP_X_CORRELATION_ID", exchange.id);
        params.put("HTTP_X_SUBJECT", exchange.request.object());
        params.put("HTTP_X_TAG", "17");
        params.put("HTTP_X_CHUNK", "0");
        params.put("HTTP_X_NEED_KB", String.valueOf(exchange.request.sizeKb()));
        params.put("HTTP_X_DEADLINE_MS", String.valueOf(exchange.deadlineMs));
        return params;
    }

    /** Whether the director answers a request for {@code /alive} with 200. */
    io.vertx.core.Future<Boolean> alive() {
        return FastCgiClient.connect(vertx, address())
                .compose(connection -> connection
                        .send(Map.of("SCRIPT_NAME", "/alive", "REQUEST_METHOD", "GET"))
                        .map(answer -> answer.toString().startsWith("Status: 200"))
                        .onComplete(answered -> connection.close()));
    }
}
