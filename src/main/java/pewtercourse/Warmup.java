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
import java.util.function.Consumer;
import pewtercourse.cache.CannedTransport;
import pewtercourse.config.DirectorConfig;
import pewtercourse.director.Director;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.front.fastcgi.FastCgiClient;

/**
 * Some requests to itself before a director is ready, so that the JVM has compiled what every request
 * runs through. Guards against the first seconds of service: a part of a core that interprets and compiles has
 * no time left to serve. They come by the director's own address, which says at /alive that it is not ready
 * yet, and end at caches that are not there: nothing leaves the program.
 */
final class Warmup implements RequestHandler {
    // By then a request takes no longer than later; fewer than 400 left most of it to the first clients. The time is
    // for a CPU that is very short: a fleet that starts has no clients yet.
    private static final int REQUESTS = 1_500, AT_ONCE = 4;
    // Where others are at work already, a cold director loses more than its absence does up to the shorter time.
    static final long MOST_MS = 6_000;
    private static final long AT_WORK_MS = 1_200, HOLD_OFF_MS = 250;

    static final RequestHandler REFUSING = (request, answer) -> {
        answer.accept(Answer.refused(HOLD_OFF_MS));
        return () -> {};
    };

    private final Vertx vertx;
    private final RequestHandler service, refusing;
    private final List<String> classes;
    private final Director director;
    private final Random random = new Random(1);
    private final Promise<Void> done = Promise.promise();
    private final Set<String> mine = new HashSet<>(); // The ids that are out.
    private int left = REQUESTS, out;
    private final long defaultMs, atWorkMs;
    private boolean ready, missed, atWorkOver;

    /** {@code service} takes what comes once it is ready. Must be made on the event loop. */
    Warmup(Vertx vertx, DirectorConfig config, RequestHandler service) {
        this(vertx, config, service, REFUSING, MOST_MS, AT_WORK_MS);
    }

    /** {@code refusing}: takes what comes before that. */
    Warmup(Vertx vertx, DirectorConfig config, RequestHandler service, RequestHandler refusing) {
        this(vertx, config, service, refusing, MOST_MS, AT_WORK_MS);
    }

    Warmup(Vertx vertx, DirectorConfig config, RequestHandler service, long mostMs, long atWorkMs) {
        this(vertx, config, service, REFUSING, mostMs, atWorkMs);
    }

    private Warmup(
            Vertx vertx,
            DirectorConfig config,
            RequestHandler service,
            RequestHandler refusing,
            long mostMs,
            long atWorkMs) {
        this.refusing = refusing;
        this.defaultMs = mostMs;
        this.atWorkMs = atWorkMs;
        this.vertx = vertx;
        this.service = service;
        this.classes = new ArrayList<>(config.site().classes().keySet());
        JsonObject alone = config.source()
                .copy()
                .put("peers", new JsonArray())
                .putNull("peer_listen")
                .putNull("feed");
        if (alone.getJsonObject("settings").getValue("Permissions") instanceof JsonObject p) {
            p.put("MayTell", false);
        }
        this.director = new Director(
                vertx, DirectorConfig.read(Map.of("GW_LISTEN", "127.0.0.1:1"), alone), new CannedTransport(vertx));
    }

    /**
     * Somebody is at work already: this is no start of the fleet, whatever the list says, and what is sent here is
     * lost. Guards against a restart into a fleet whose list has not changed since its start taking all of the time.
     */
    void missed() {
        missed = true;
        if (atWorkOver) {
            done.tryComplete();
        }
    }

    /** Completes when it is done, in no more than 6 s, 1.2 where others are at work, or at once if there is no time to; never fails. */
    Future<Void> run(SocketAddress front, boolean time) {
        return run(front, time, defaultMs);
    }

    /** The same, in no more than {@code mostMs}. */
    Future<Void> run(SocketAddress front, boolean time, long mostMs) {
        if (!time) {
            ready = true;
            return Future.succeededFuture();
        }
        director.start();
        long timer = vertx.setTimer(mostMs, t -> done.tryComplete());
        long atWork = vertx.setTimer(atWorkMs, t -> {
            atWorkOver = true;
            if (missed) {
                done.tryComplete();
            }
        });
        for (int i = 0; i < AT_ONCE; i++) {
            FastCgiClient.connect(vertx, front).onSuccess(this::ask).onFailure(done::tryFail);
        }
        return done.future().otherwiseEmpty().onComplete(v -> {
            ready = true;
            vertx.cancelTimer(timer);
            vertx.cancelTimer(atWork);
            director.stop();
            Log.info("director.warm", "requests", REQUESTS - left - out);
        });
    }

    @Override
    public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
        // Its own are never let through, also when one comes late: no client sent them. And none of a client's
        // may get an answer that no cache made.
        if (mine.contains(request.id())) {
            // After its end its director has stopped and would leave it open until its time is over.
            return ready ? REFUSING.handle(request, answer) : director.handle(request, answer);
        }
        if (!ready) {
            missed();
            return refusing.handle(request, answer);
        }
        return service.handle(request, answer);
    }

    @Override
    public boolean ready() {
        return ready;
    }

    private void ask(FastCgiClient client) {
        if (ready || left == 0) {
            client.close();
            if (out == 0) {
                done.tryComplete();
            }
            return;
        }
        left--;
        out++;
        String id = String.format("%016x", random.nextLong());
        mine.add(id);
        client.send(Map.of(
                        "SCRIPT_NAME",
                        "/ops/" + classes.get(left % classes.size()),
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
                    out--;
                    mine.remove(id);
                    ask(client);
                });
    }
}
