package pewtercourse.feed;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import pewtercourse.Log;
import pewtercourse.Timers;

/**
 * Follows the control feed: reads events until the connection ends or falls silent, then calls again with the
 * number of the last one. Events already seen are passed over.
 */
public final class FeedClient {
    private static final long SILENCE_MS = 2_500, CONNECT_MS = 1_000, AGAIN_FIRST_MS = 50, AGAIN_MOST_MS = 500;

    private final HttpClientAgent client;
    private final Timers timers;
    private final InetSocketAddress address;
    private final Consumer<FeedEvent> handler;
    private long seen, silence = -1, again = AGAIN_FIRST_MS;
    private int turn;
    private HttpClientConnection connection;

    public FeedClient(Vertx vertx, Timers timers, InetSocketAddress address, long seen,
            Consumer<FeedEvent> handler) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) CONNECT_MS)
                .setTcpNoDelay(true).setIdleTimeout(0));
        this.timers = timers;
        this.address = address;
        this.seen = seen;
        this.handler = handler;
    }

    public void start() {
        int mine = ++turn;
        watch(mine, CONNECT_MS + SILENCE_MS);
        String host = address.getAddress().getHostAddress();
        client.connect(new HttpConnectOptions().setServer(SocketAddress.inetSocketAddress(address)).setHost(host)
                .setPort(address.getPort()).setSsl(false)).compose(c -> {
                    if (mine != turn) {
                        c.close();
                        throw new IllegalStateException("overtaken");
                    }
                    connection = c;
                    c.closeHandler(v -> restart(mine, "closed"));
                    return c.request(new RequestOptions().setMethod(HttpMethod.GET).setHost(host)
                            .setPort(address.getPort()).setURI("/v1/events"));
                }).compose(r -> r.putHeader("Accept", "text/event-stream")
                        .putHeader("Last-Event-ID", String.valueOf(seen)).send())
                .onSuccess(in -> follow(mine, in)).onFailure(e -> restart(mine, e.getMessage()));
    }

    private void follow(int mine, HttpClientResponse in) {
        if (in.statusCode() != 200) {
            restart(mine, "status " + in.statusCode());
            return;
        }
        again = AGAIN_FIRST_MS;
        Log.info("feed.connected", "from", seen);
        SseReader reader = new SseReader(this::event);
        in.handler(bytes -> {
            if (mine == turn) {
                watch(mine, SILENCE_MS);
                reader.add(bytes);
            }
        });
        in.exceptionHandler(e -> restart(mine, e.getMessage()));
        in.endHandler(v -> restart(mine, "ended"));
    }

    private void event(String data) {
        try {
            FeedEvent e = FeedEvent.decode(new JsonObject(data));
            if (e.number() > seen) {
                seen = e.number();
                handler.accept(e);
            }
        } catch (RuntimeException e) {
            Log.warn("feed.malformed", "event", data.length() > 200 ? data.substring(0, 200) : data, "error", e);
        }
    }

    private void watch(int mine, long ms) {
        timers.cancel(silence);
        silence = timers.set(ms, () -> restart(mine, "silent"));
    }

    private void restart(int mine, String why) {
        if (mine != turn) {
            return;
        }
        turn++;
        timers.cancel(silence);
        Log.warn("feed.lost", "why", why, "seen", seen);
        if (connection != null) {
            connection.close();
            connection = null;
        }
        timers.set(again, this::start);
        again = Math.min(AGAIN_MOST_MS, again * 2);
    }
}
