package pewtercourse.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Set;

/** A {@link CacheModel} behind HTTP/1.1, as directors speak to caches. All on one event loop. */
final class EmulatedCache {
    private static final String HOST = "127.0.0.1";
    // Bytes on the socket for each KB that is counted.
    private static final int BYTES_PER_KB = 10;

    final String name, site;
    final CacheModel model;
    private final Vertx vertx;
    private final UpstreamModel upstream;
    private final EmulationResults results;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;
    private int port, life;
    private double slow = 1;
    long drainingSince = Long.MAX_VALUE; // Microseconds: from then it should get nothing new.

    EmulatedCache(Vertx vertx, String name, String site, CacheModel model, UpstreamModel upstream, EmulationResults results) {
        this.vertx = vertx;
        this.name = name;
        this.site = site;
        this.model = model;
        this.upstream = upstream;
        this.results = results;
    }

    Future<Void> listen() {
        server = vertx.createHttpServer(
                new HttpServerOptions().setHost(HOST).setReuseAddress(true).setTcpNoDelay(true));
        server.connectionHandler(c -> {
            connections.add(c);
            c.closeHandler(v -> connections.remove(c));
        });
        server.requestHandler(this::handle);
        return server.listen(port).onSuccess(s -> port = s.actualPort()).mapEmpty();
    }

    String dial() {
        return HOST + ":" + port;
    }

    /** The process ends: its connections are reset and its copies gone. */
    Future<Void> kill() {
        life++;
        model.kill();
        HttpServer s = server;
        server = null;
        Set.copyOf(connections).forEach(HttpConnection::close);
        return s == null ? Future.succeededFuture() : s.close();
    }

    /** It starts again, cold and empty, at its port. */
    Future<Void> start() {
        model.start(now());
        slow = 1;
        drainingSince = Long.MAX_VALUE;
        return listen();
    }

    /** Answers take so many times as long. */
    void slow(double times) {
        slow = times;
    }

    static long now() {
        return System.nanoTime() / 1_000;
    }

    private void handle(HttpServerRequest r) {
        long now = now();
        String[] path = r.path().split("/");
        Catalogue.RequestClass cls = path.length == 5 ? Catalogue.named(path[2]) : null;
        if (cls == null) {
            results.recordViolation("a request that no cache knows: " + r.path());
            r.response().setStatusCode(400).end();
            return;
        }
        results.attempt(this, now);
        String object = path[3];
        double kb = Catalogue.sizeKb(cls, object);
        long work = (long) (kb / Catalogue.KB_PER_MS * 1_000);
        int keep = number(r.getHeader("X-Keep"));
        CacheModel.Answer a = model.handleRequest(
                now,
                Long.parseUnsignedLong(object, 16),
                work,
                r.getHeader("X-Fill-From") != null,
                cls.through() ? 0 : keep,
                number(r.getHeader("X-Max-Age-Ms")) * 1_000L);
        switch (a.outcome()) {
            case DOWN -> r.connection().close();
            case FULL ->
                r.response().setStatusCode(503).putHeader("Never-Ran", "1").end();
            case MISS -> r.response().setStatusCode(404).end();
            default -> serve(r, cls, object, kb, a);
        }
    }

    private void serve(HttpServerRequest r, Catalogue.RequestClass cls, String object, double kb, CacheModel.Answer a) {
        boolean hit = a.outcome() == CacheModel.Outcome.HIT;
        if (cls.through()) {
            results.ran(r.getHeader("Request-Id"));
        } else if (hit) {
            results.copyServed(object, a.bornAtMicros(), now());
        }
        UpstreamModel.Fill fill = hit ? null : upstream.begin(Long.parseUnsignedLong(object, 16), cls.through());
        long takes = Math.max(1, Math.round(slow * (a.durationMicros() + (hit ? 0 : fill.durationMicros())) / 1_000));
        int mine = life;
        vertx.setTimer(takes, t -> {
            if (fill != null) {
                upstream.end(fill);
            }
            if (life != mine) {
                return;
            }
            model.endTransfer();
            if (!r.response().closed()) {
                r.response()
                        .putHeader("ETag", object)
                        .putHeader(
                                "X-Born-Ms", String.valueOf(System.currentTimeMillis() - (now() - a.bornAtMicros()) / 1_000))
                        .putHeader("Outcome", hit ? "mem" : "parent")
                        .putHeader("Load-Report", "inflight:" + model.out() + ";x0:0.5")
                        .end(Buffer.buffer(new byte[(int) Math.min(200_000, Math.max(1, kb * BYTES_PER_KB))]));
            }
        });
    }

    private static int number(String v) {
        return v == null ? 0 : Integer.parseInt(v);
    }
}
