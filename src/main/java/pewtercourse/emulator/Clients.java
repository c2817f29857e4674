package pewtercourse.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import pewtercourse.front.fastcgi.FastCgiClient;

/**
 * Sends the requests of the clients of one site in an open loop: the rate does not depend on the answers. A client uses a
 * director of its own site, or of another site if none of its own accepts the connection. Confined to the emulator's event
 * loop.
 */
final class Clients {
    private static final int MAX_CONNECTIONS = 200;
    private static final double DEADLINE_SLACK_MS = 60;

    private final Vertx vertx;
    private final String site;
    private final Catalogue catalogue;
    private final EmulationResults results;
    private final Random random;
    private final List<String> directors; // In the order in which they are tried.
    private final Map<String, ArrayDeque<FastCgiClient>> idleByDirector = new HashMap<>();
    private double requestsPerSecond;
    private boolean stopped;
    private int connections;
    private int openRequests;

    Clients(
            Vertx vertx,
            String site,
            List<String> directors,
            long seed,
            int objectCount,
            double requestsPerSecond,
            EmulationResults results) {
        this.vertx = vertx;
        this.site = site;
        this.directors = directors;
        this.catalogue = new Catalogue(seed, objectCount);
        this.random = new Random(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.results = results;
    }

    void start() {
        scheduleNextRequest();
    }

    void stop() {
        stopped = true;
    }

    /** Returns the number of requests without an answer. */
    int openRequestCount() {
        return openRequests;
    }

    private void scheduleNextRequest() {
        vertx.setTimer(Math.max(1, Math.round(catalogue.gapMs(requestsPerSecond))), t -> {
            if (!stopped) {
                scheduleNextRequest();
                send(catalogue.next(), 0);
            }
        });
    }

    private void send(Catalogue.DrawnRequest request, int triedDirectors) {
        if (triedDirectors >= directors.size()) {
            EmulationResults.RequestCounts counts = results.counts(site, request.requestClass().name());
            counts.asked++;
            counts.failed++;
            counts.worth += request.requestClass().worth();
            return;
        }
        String director = directors.get(triedDirectors);
        ArrayDeque<FastCgiClient> idleConnections = idleByDirector.computeIfAbsent(director, address -> new ArrayDeque<>());
        FastCgiClient connection = idleConnections.pollFirst();
        if (connection != null) {
            sendRequest(request, connection, director);
            return;
        }
        if (connections >= MAX_CONNECTIONS) {
            send(request, directors.size());
            return;
        }
        connections++;
        int colon = director.indexOf(':');
        FastCgiClient.connect(
                        vertx,
                        SocketAddress.inetSocketAddress(
                                Integer.parseInt(director.substring(colon + 1)), director.substring(0, colon)))
                .onSuccess(opened -> sendRequest(request, opened, director))
                .onFailure(e -> {
                    connections--;
                    send(request, triedDirectors + 1);
                });
    }

    private void sendRequest(Catalogue.DrawnRequest request, FastCgiClient connection, String director) {
        long sentAtMicros = EmulatedCache.now();
        EmulationResults.RequestCounts counts = results.counts(site, request.requestClass().name());
        counts.asked++;
        counts.worth += request.requestClass().worth();
        openRequests++;
        boolean[] finished = new boolean[1];
        Map<String, String> params = new HashMap<>(Map.of(
                "SCRIPT_NAME",
                "/ops/" + request.requestClass().name(),
                "REQUEST_METHOD",
                "GET",
                "HTTP_X_CORRELATION_ID",
                String.format("%016x", random.nextLong()),
                "HTTP_X_SUBJECT",
                request.object(),
                "HTTP_X_TAG",
                "17",
                "HTTP_X_CHUNK",
                "0",
                "HTTP_X_NEED_KB",
                String.valueOf(request.sizeKb()),
                "HTTP_X_DEADLINE_MS",
                String.valueOf((long) request.requestClass().deadlineMs())));
        long timeoutTimer = vertx.setTimer((long) (request.requestClass().deadlineMs() + DEADLINE_SLACK_MS), x -> {
            finished[0] = true;
            openRequests--;
            counts.lost++;
            results.recordViolation("a request of " + site + " by " + director + " got no answer in its time");
            connections--;
            connection.close();
        });
        connection.send(params).onComplete(result -> {
            if (finished[0]) {
                return;
            }
            finished[0] = true;
            vertx.cancelTimer(timeoutTimer);
            openRequests--;
            if (result.failed()) {
                counts.failed++; // The director died or closed the connection.
                connections--;
                connection.close();
            } else {
                count(counts, request, result.result(), (EmulatedCache.now() - sentAtMicros) / 1e3);
                idleByDirector.get(director).addFirst(connection);
            }
        });
    }

    private static void count(EmulationResults.RequestCounts counts, Catalogue.DrawnRequest request, Buffer answer, double latencyMs) {
        String status = new String(answer.getBytes(0, Math.min(16, answer.length())), StandardCharsets.US_ASCII);
        if (status.startsWith("Status: 200")) {
            boolean inTime = latencyMs <= request.requestClass().targetMs() + request.requestClass().stretch() * request.sizeKb() / Catalogue.KB_PER_MS;
            counts.inTime += inTime ? 1 : 0;
            counts.late += inTime ? 0 : 1;
            counts.worthInTime += inTime ? request.requestClass().worth() : 0;
        } else if (status.startsWith("Status: 503") || status.startsWith("Status: 429")) {
            counts.refused++;
        } else {
            counts.failed++;
        }
    }

    /** Returns the addresses of the directors in the order in which they are tried. */
    List<String> directors() {
        return new ArrayList<>(directors);
    }
}
