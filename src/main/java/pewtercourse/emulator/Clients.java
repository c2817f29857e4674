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
 * Clients of one site in open loop: they ask on whatever happens, by the directors of their own site, or by others where
 * none of these takes their connection. On the emulator's event loop.
 */
final class Clients {
    private static final int CONNECTIONS_MOST = 200;
    private static final double SLACK_MS = 60;

    private final Vertx vertx;
    private final String site;
    private final Catalogue catalogue;
    private final EmulationResults results;
    private final Random random;
    private final List<String> directors; // In the order in which they are asked.
    private final Map<String, ArrayDeque<FastCgiClient>> idle = new HashMap<>();
    private double perSecond;
    private boolean over;
    private int connections, open;

    Clients(
            Vertx vertx,
            String site,
            List<String> directors,
            long seed,
            int objects,
            double perSecond,
            EmulationResults results) {
        this.vertx = vertx;
        this.site = site;
        this.directors = directors;
        this.catalogue = new Catalogue(seed, objects);
        this.random = new Random(seed);
        this.perSecond = perSecond;
        this.results = results;
    }

    void start() {
        ask();
    }

    void stop() {
        over = true;
    }

    /** Requests that have no answer yet. */
    int openRequestCount() {
        return open;
    }

    private void ask() {
        vertx.setTimer(Math.max(1, Math.round(catalogue.gapMs(perSecond))), t -> {
            if (!over) {
                ask();
                send(catalogue.next(), 0);
            }
        });
    }

    private void send(Catalogue.Pick p, int tried) {
        if (tried >= directors.size()) {
            EmulationResults.RequestCounts none = results.tally(site, p.cls().name());
            none.asked++;
            none.failed++;
            none.worth += p.cls().worth();
            return;
        }
        String at = directors.get(tried);
        ArrayDeque<FastCgiClient> waiting = idle.computeIfAbsent(at, a -> new ArrayDeque<>());
        FastCgiClient c = waiting.pollFirst();
        if (c != null) {
            asked(p, c, at);
            return;
        }
        if (connections >= CONNECTIONS_MOST) {
            send(p, directors.size());
            return;
        }
        connections++;
        int colon = at.indexOf(':');
        FastCgiClient.connect(
                        vertx,
                        SocketAddress.inetSocketAddress(
                                Integer.parseInt(at.substring(colon + 1)), at.substring(0, colon)))
                .onSuccess(n -> asked(p, n, at))
                .onFailure(e -> {
                    connections--;
                    send(p, tried + 1);
                });
    }

    private void asked(Catalogue.Pick p, FastCgiClient c, String at) {
        long from = EmulatedCache.now();
        EmulationResults.RequestCounts t = results.tally(site, p.cls().name());
        t.asked++;
        t.worth += p.cls().worth();
        open++;
        boolean[] ended = new boolean[1];
        Map<String, String> params = new HashMap<>(Map.of(
                "SCRIPT_NAME",
                "/ops/" + p.cls().name(),
                "REQUEST_METHOD",
                "GET",
                "HTTP_X_CORRELATION_ID",
                String.format("%016x", random.nextLong()),
                "HTTP_X_SUBJECT",
                p.object(),
                "HTTP_X_TAG",
                "17",
                "HTTP_X_CHUNK",
                "0",
                "HTTP_X_NEED_KB",
                String.valueOf(p.sizeKb()),
                "HTTP_X_DEADLINE_MS",
                String.valueOf((long) p.cls().deadlineMs())));
        long timer = vertx.setTimer((long) (p.cls().deadlineMs() + SLACK_MS), x -> {
            ended[0] = true;
            open--;
            t.lost++;
            results.recordViolation("a request of " + site + " by " + at + " got no answer in its time");
            connections--;
            c.close();
        });
        c.ask(params).onComplete(r -> {
            if (ended[0]) {
                return;
            }
            ended[0] = true;
            vertx.cancelTimer(timer);
            open--;
            if (r.failed()) {
                t.failed++; // Its director died, or ended the connection.
                connections--;
                c.close();
            } else {
                count(t, p, r.result(), (EmulatedCache.now() - from) / 1e3);
                idle.get(at).addFirst(c);
            }
        });
    }

    private static void count(EmulationResults.RequestCounts t, Catalogue.Pick p, Buffer answer, double ms) {
        String status = new String(answer.getBytes(0, Math.min(16, answer.length())), StandardCharsets.US_ASCII);
        if (status.startsWith("Status: 200")) {
            boolean inTime = ms <= p.cls().aimMs() + p.cls().stretch() * p.sizeKb() / Catalogue.KB_PER_MS;
            t.inTime += inTime ? 1 : 0;
            t.late += inTime ? 0 : 1;
            t.worthInTime += inTime ? p.cls().worth() : 0;
        } else if (status.startsWith("Status: 503") || status.startsWith("Status: 429")) {
            t.refused++;
        } else {
            t.failed++;
        }
    }

    /** Where they go, in order. */
    List<String> directors() {
        return new ArrayList<>(directors);
    }
}
