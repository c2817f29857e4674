package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import pewtercourse.cache.CannedTransport;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiClient;

/**
 * Sends requests to the director itself before it is ready, so that the JVM has compiled the code that every request
 * runs. Without them the first seconds of service are slow: on a fraction of a core, interpreting and compiling leave
 * no time to serve. The requests arrive at the director's own address, whose /alive reports that it is not ready yet,
 * and are answered in the process ({@link CannedTransport}): nothing is sent to caches.
 */
final class Warmup implements RequestHandler {
    // After this number a request takes no longer than later ones. With fewer than 400, most of the compilation was
    // left to the first clients.
    private static final int REQUESTS = 1_500;
    private static final int CONCURRENT_REQUESTS = 4;
    // Long enough for a very slow CPU: a fleet that starts has no clients yet.
    static final long MAX_DURATION_MS = 6_000;
    // Bound if the fleet already serves clients: up to this time a director that serves cold loses more requests than
    // its absence does.
    private static final long MAX_DURATION_IN_SERVING_FLEET_MS = 1_200;
    private static final long RETRY_AFTER_MS = 250;

    static final RequestHandler REFUSING = (request, answer) -> {
        answer.accept(Answer.refused(RETRY_AFTER_MS));
        return () -> {};
    };

    private final Vertx vertx;
    private final RequestHandler service;
    private final RequestHandler refusing;
    private final List<String> classes;
    private final Director director;
    private final Random random = new Random(1);
    private final Promise<Void> done = Promise.promise();
    private final Set<String> ownRequestIds = new HashSet<>(); // Of the warm-up's requests in flight.
    private int requestsLeft = REQUESTS;
    private int inFlight;
    private final long maxDurationMs;
    private final long maxDurationInServingFleetMs;
    private boolean ready;
    private boolean fleetServing;
    private boolean servingFleetTimeElapsed;

    /** {@code service} handles requests once the warm-up has ended. Must be created on the event loop. */
    Warmup(Vertx vertx, DirectorConfig config, RequestHandler service) {
        this(vertx, config, service, REFUSING, MAX_DURATION_MS, MAX_DURATION_IN_SERVING_FLEET_MS);
    }

    /** {@code refusing} handles clients' requests before that. */
    Warmup(Vertx vertx, DirectorConfig config, RequestHandler service, RequestHandler refusing) {
        this(vertx, config, service, refusing, MAX_DURATION_MS, MAX_DURATION_IN_SERVING_FLEET_MS);
    }

    Warmup(
            Vertx vertx,
            DirectorConfig config,
            RequestHandler service,
            long maxDurationMs,
            long maxDurationInServingFleetMs) {
        this(vertx, config, service, REFUSING, maxDurationMs, maxDurationInServingFleetMs);
    }

    private Warmup(
            Vertx vertx,
            DirectorConfig config,
            RequestHandler service,
            RequestHandler refusing,
            long maxDurationMs,
            long maxDurationInServingFleetMs) {
        this.refusing = refusing;
        this.maxDurationMs = maxDurationMs;
        this.maxDurationInServingFleetMs = maxDurationInServingFleetMs;
        this.vertx = vertx;
        this.service = service;
        this.classes = new ArrayList<>(config.site().classes().keySet());
        JsonObject isolatedConfig = config.source()
                .copy()
                .put("peers", new JsonArray())
                .putNull("peer_listen")
                .putNull("feed");
        if (isolatedConfig.getJsonObject("settings").getValue("Permissions") instanceof JsonObject permissions) {
            permissions.put("MayTell", false);
        }
        this.director = new Director(
                vertx,
                DirectorConfig.read(Map.of("GW_LISTEN", "127.0.0.1:1"), isolatedConfig),
                new CannedTransport(vertx));
    }

    /**
     * Reports that the fleet already serves clients, whatever the list of caches says, and that requests sent here are
     * refused. Shortens the warm-up of a director that restarts in a fleet whose list has not changed since its start.
     */
    void onFleetServing() {
        fleetServing = true;
        if (servingFleetTimeElapsed) {
            done.tryComplete();
        }
    }

    /**
     * Runs the warm-up through the director's front. The result never fails and completes after at most 6 s, or 1.2 s if
     * the fleet already serves clients.
     *
     * @param startsWithFleet whether no director of the fleet serves clients yet, as far as is known
     */
    Future<Void> run(SocketAddress front, boolean startsWithFleet) {
        return run(front, startsWithFleet, maxDurationMs);
    }

    /** Like {@link #run(SocketAddress, boolean)}, for at most {@code durationLimitMs}. */
    Future<Void> run(SocketAddress front, boolean startsWithFleet, long durationLimitMs) {
        fleetServing |= !startsWithFleet;
        director.start();
        long timer = vertx.setTimer(durationLimitMs, id -> done.tryComplete());
        long servingFleetTimer = vertx.setTimer(maxDurationInServingFleetMs, id -> {
            servingFleetTimeElapsed = true;
            if (fleetServing) {
                done.tryComplete();
            }
        });
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            FastCgiClient.connect(vertx, front).onSuccess(this::sendNext).onFailure(done::tryFail);
        }
        return done.future().otherwiseEmpty().onComplete(v -> {
            ready = true;
            vertx.cancelTimer(timer);
            vertx.cancelTimer(servingFleetTimer);
            director.stop();
            Log.info("director.warm", "requests", REQUESTS - requestsLeft - inFlight);
        });
    }

    @Override
    public Runnable handle(ClientRequest request, ClientExchange client) {
        // The warm-up's own requests never reach the service, not even late ones, as no client sent them. A client's
        // request never gets an answer that no cache made.
        if (ownRequestIds.contains(request.id())) {
            // After the warm-up its director has stopped, and would leave the request open until the deadline.
            return ready ? REFUSING.handle(request, client) : director.handle(request, client);
        }
        if (!ready) {
            onFleetServing();
            return refusing.handle(request, client);
        }
        return service.handle(request, client);
    }

    @Override
    public boolean ready() {
        return ready;
    }

    private void sendNext(FastCgiClient client) {
        if (ready || requestsLeft == 0) {
            client.close();
            if (inFlight == 0) {
                done.tryComplete();
            }
            return;
        }
        requestsLeft--;
        inFlight++;
        String id = String.format("%016x", random.nextLong());
        ownRequestIds.add(id);
        client.send(Map.of(
                        "SCRIPT_NAME",
                        "/ops/" + classes.get(requestsLeft % classes.size()),
                        "REQUEST_METHOD",
                        "GET",
                        "HTTP_X_CORRELATION_ID",
                        id,
                        "HTTP_X_SUBJECT",
                        String.format("%016x", random.nextInt(100)),
                        "HTTP_X_TAG",
                        "17",
                        "HTTP_X_CHUNK",
                        "0",
                        "HTTP_X_NEED_KB",
                        "200.5",
                        "HTTP_X_DEADLINE_MS",
                        "3000"))
                .onComplete(answer -> {
                    inFlight--;
                    ownRequestIds.remove(id);
                    sendNext(client);
                });
    }
}
