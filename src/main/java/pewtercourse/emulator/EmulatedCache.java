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
import pewtercourse.WallClock;

/** Serves a {@link CacheModel} over HTTP/1.1, the protocol between directors and caches. Confined to one event loop. */
public final class EmulatedCache {
    /** Sees the requests of a cache and its collapses. */
    public interface Listener {
        /** A request has arrived; called before it is handled. */
        void requestArrived(EmulatedCache cache, HttpServerRequest request);

        /** A request that must not be repeated was run. */
        void ran(String requestId);

        /** The cache has collapsed, overloaded while it was cold. */
        void collapsed(EmulatedCache cache);
    }

    private static final String HOST = "127.0.0.1";
    // Bytes that are sent over the socket for each KB of the modelled size.
    private static final int BYTES_PER_KB = 10;

    final String name;
    final String site;
    final CacheModel model;
    private final Vertx vertx;
    private final UpstreamModel upstream;
    private final EmulationResults results;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;
    private int port;
    private int processGeneration; // Incremented when the process ends.
    private double slowdownFactor = 1;
    private Listener listener;
    long drainingSince = Long.MAX_VALUE; // Microseconds; new attempts should stop then.

    /** Creates a cache that does not listen yet. */
    public EmulatedCache(
            Vertx vertx, String name, String site, CacheModel model, UpstreamModel upstream, EmulationResults results) {
        this.vertx = vertx;
        this.name = name;
        this.site = site;
        this.model = model;
        this.upstream = upstream;
        this.results = results;
    }

    /** Opens the listening socket: at any free port the first time, then at the same port. */
    public Future<Void> listen() {
        server = vertx.createHttpServer(
                new HttpServerOptions().setHost(HOST).setReuseAddress(true).setTcpNoDelay(true));
        server.connectionHandler(c -> {
            connections.add(c);
            c.closeHandler(v -> connections.remove(c));
        });
        server.requestHandler(this::handle);
        return server.listen(port)
                .onSuccess(listening -> port = listening.actualPort())
                .mapEmpty();
    }

    /** Sets what sees the requests and collapses. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Name in the endpoint list. */
    public String name() {
        return name;
    }

    /** The model that answers the requests. */
    public CacheModel model() {
        return model;
    }

    /** The port at which the cache listens. */
    public int port() {
        return port;
    }

    String address() {
        return HOST + ":" + port;
    }

    /** Ends the process: its connections are closed and its copies are lost. */
    public Future<Void> kill() {
        processGeneration++;
        model.kill();
        HttpServer stoppedServer = server;
        server = null;
        Set.copyOf(connections).forEach(HttpConnection::close);
        return stoppedServer == null ? Future.succeededFuture() : stoppedServer.close();
    }

    /** Starts the process again at its old port, cold and without copies. */
    public Future<Void> start() {
        model.start(now());
        slowdownFactor = 1;
        drainingSince = Long.MAX_VALUE;
        return listen();
    }

    /** Makes each answer take {@code factor} times as long. */
    void slowDown(double factor) {
        slowdownFactor = factor;
    }

    /** Returns the monotonic time in microseconds. */
    public static long now() {
        return System.nanoTime() / 1_000;
    }

    private void handle(HttpServerRequest request) {
        long now = now();
        String[] path = request.path().split("/");
        Catalogue.RequestClass requestClass = path.length == 5 ? Catalogue.named(path[2]) : null;
        if (requestClass == null) {
            results.recordViolation("a request that no cache knows: " + request.path());
            request.response().setStatusCode(400).end();
            return;
        }
        results.recordAttempt(this, now);
        int collapsesBefore = model.coldOverloadCount();
        if (listener != null) {
            listener.requestArrived(this, request);
        }
        String object = path[3];
        double sizeKb = Catalogue.sizeKb(requestClass, object);
        long work = (long) (sizeKb / Catalogue.KB_PER_MS * 1_000);
        int retentionRank = parseOrZero(request.getHeader("X-Keep"));
        CacheModel.Answer answer = model.handleRequest(
                now,
                Long.parseUnsignedLong(object, 16),
                work,
                request.getHeader("X-Fill-From") != null,
                requestClass.uncacheable() ? 0 : retentionRank,
                parseOrZero(request.getHeader("X-Max-Age-Ms")) * 1_000L);
        if (listener != null && model.coldOverloadCount() > collapsesBefore) {
            listener.collapsed(this);
        }
        switch (answer.outcome()) {
            case DOWN -> request.connection().close();
            case FULL ->
                request.response()
                        .setStatusCode(503)
                        .putHeader("Never-Ran", "1")
                        .end();
            case MISS -> request.response().setStatusCode(404).end();
            default -> serve(request, requestClass, object, sizeKb, answer);
        }
    }

    private void serve(
            HttpServerRequest request,
            Catalogue.RequestClass requestClass,
            String object,
            double sizeKb,
            CacheModel.Answer answer) {
        boolean hit = answer.outcome() == CacheModel.Outcome.HIT;
        if (requestClass.uncacheable()) {
            results.recordOrderRun(request.getHeader("Request-Id"));
            if (listener != null) {
                listener.ran(request.getHeader("Request-Id"));
            }
        } else if (hit) {
            results.recordServedCopy(object, answer.bornAtMicros(), now());
        }
        UpstreamModel.Fill fill =
                hit ? null : upstream.begin(Long.parseUnsignedLong(object, 16), requestClass.uncacheable());
        long durationMs = Math.max(
                1, Math.round(slowdownFactor * (answer.durationMicros() + (hit ? 0 : fill.durationMicros())) / 1_000));
        int generation = processGeneration;
        vertx.setTimer(durationMs, timer -> {
            if (fill != null) {
                upstream.end(fill);
            }
            if (processGeneration != generation) {
                return;
            }
            model.endTransfer();
            if (!request.response().closed()) {
                request.response()
                        .putHeader("ETag", object)
                        .putHeader(
                                "X-Born-Ms",
                                String.valueOf(WallClock.unixMillis() - (now() - answer.bornAtMicros()) / 1_000))
                        .putHeader("Outcome", hit ? "mem" : "parent")
                        .putHeader("Load-Report", "inflight:" + model.transfersInFlight() + ";x0:0.5")
                        .end(Buffer.buffer(new byte[(int) Math.min(200_000, Math.max(1, sizeKb * BYTES_PER_KB))]));
            }
        });
    }

    private static int parseOrZero(String value) {
        return value == null ? 0 : Integer.parseInt(value);
    }
}
