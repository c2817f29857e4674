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

/** A control feed: numbered events as server-sent ones, a comment every second. All on one event loop. */
final class EmulatedFeed {
    private static final String HOST = "127.0.0.1";

    private final Vertx vertx;
    private final List<JsonObject> events = new ArrayList<>();
    private final Map<HttpServerResponse, Long> followers = new HashMap<>();
    private int port;

    EmulatedFeed(Vertx vertx) {
        this.vertx = vertx;
    }

    Future<Void> listen() {
        HttpServer s = vertx.createHttpServer();
        s.requestHandler(this::follow);
        vertx.setPeriodic(1_000, t -> followers.keySet().forEach(f -> f.write(": here\n\n")));
        return s.listen(0, HOST).onSuccess(x -> port = x.actualPort()).mapEmpty();
    }

    String address() {
        return HOST + ":" + port;
    }

    private void follow(HttpServerRequest r) {
        HttpServerResponse out = r.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        String last = r.getHeader("Last-Event-ID");
        long seen = last == null || last.isEmpty() ? 0 : Long.parseLong(last);
        out.closeHandler(v -> followers.remove(out));
        followers.put(out, seen);
        events.stream().filter(e -> e.getLong("n") > seen).forEach(e -> write(out, e));
        out.write(": here\n\n");
    }

    private static void write(HttpServerResponse to, JsonObject e) {
        to.write("id: " + e.getLong("n") + "\ndata: " + e.encode() + "\n\n");
    }

    /** The next event; without its number. */
    void publish(JsonObject event) {
        JsonObject e = event.copy().put("n", events.size() + 1L);
        events.add(e);
        followers.keySet().forEach(f -> write(f, e));
    }

    /** What a director is told at its start. */
    JsonObject known() {
        JsonArray all = new JsonArray();
        events.forEach(all::add);
        return new JsonObject().put("n", events.size()).put("events", all);
    }

    static JsonObject hosts(boolean whole, long seq, List<JsonObject> hosts) {
        JsonArray list = new JsonArray();
        hosts.forEach(list::add);
        return new JsonObject()
                .put(
                        "members",
                        new JsonObject().put("seq", seq).put("whole", whole).put("hosts", list));
    }
}
