package pewtercourse.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Serves a control feed: numbered server-sent events, and a comment every second. Confined to one event loop. */
public final class EmulatedFeed {
    private static final String HOST = "127.0.0.1";

    private final Vertx vertx;
    private final List<JsonObject> events = new ArrayList<>();
    private final Map<HttpServerResponse, Long> followers = new HashMap<>();
    private int port;

    /** Creates a feed without events. */
    public EmulatedFeed(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Opens the listening socket at any free port. */
    public Future<Void> listen() {
        HttpServer server = vertx.createHttpServer();
        server.requestHandler(this::follow);
        vertx.setPeriodic(1_000, t -> followers.keySet().forEach(follower -> follower.write(": here\n\n")));
        return server.listen(0, HOST)
                .onSuccess(listening -> port = listening.actualPort())
                .mapEmpty();
    }

    /** The port at which the feed listens. */
    public int port() {
        return port;
    }

    /** The address at which the feed listens. */
    public String address() {
        return HOST + ":" + port;
    }

    private void follow(HttpServerRequest request) {
        HttpServerResponse response =
                request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        String lastEventId = request.getHeader("Last-Event-ID");
        long lastSeen = lastEventId == null || lastEventId.isEmpty() ? 0 : Long.parseLong(lastEventId);
        response.closeHandler(v -> followers.remove(response));
        followers.put(response, lastSeen);
        events.stream().filter(e -> e.getLong("n") > lastSeen).forEach(e -> write(response, e));
        response.write(": here\n\n");
    }

    private static void write(HttpServerResponse follower, JsonObject event) {
        follower.write("id: " + event.getLong("n") + "\ndata: " + event.encode() + "\n\n");
    }

    /** Numbers an event and sends it to all followers; {@code event} has no number yet. */
    public void publish(JsonObject event) {
        JsonObject numbered = event.copy().put("n", events.size() + 1L);
        events.add(numbered);
        followers.keySet().forEach(follower -> write(follower, numbered));
    }

    /** Returns the events so far in the form of the key {@code known} of a director's configuration. */
    public JsonObject known() {
        JsonArray published = new JsonArray();
        events.forEach(published::add);
        return new JsonObject().put("n", events.size()).put("events", published);
    }

    /** Creates the entry of a host in the list; {@code startedMs} is its Unix time of a late start, or 0. */
    public static JsonObject host(
            String name, String address, String zone, String kind, String health, long startedMs) {
        return new JsonObject()
                .put("host", name)
                .put("dial", address)
                .put("site", zone)
                .put("class", kind)
                .put("block", 0)
                .put("health", health)
                .put("share", 1)
                .put("born_ms", startedMs);
    }

    /** Creates an event that lists hosts: all of them if {@code complete}, else only the changed ones. */
    public static JsonObject hosts(boolean complete, long sequence, List<JsonObject> hosts) {
        JsonArray list = new JsonArray();
        hosts.forEach(list::add);
        return new JsonObject()
                .put(
                        "members",
                        new JsonObject()
                                .put("seq", sequence)
                                .put("whole", complete)
                                .put("hosts", list));
    }
}
