package pewtercourse.discovery;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;

/** The control feed over the library's HTTP client, one connection for each call. */
public final class HttpFeedTransport implements FeedTransport {
    private static final int CONNECT_MS = 1_000;

    private final HttpClientAgent client;

    public HttpFeedTransport(Vertx vertx) {
        client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(CONNECT_MS)
                .setTcpNoDelay(true)
                .setIdleTimeout(0));
    }

    @Override
    public Runnable follow(InetSocketAddress feed, long last, Listener to) {
        Call call = new Call();
        String host = feed.getAddress().getHostAddress();
        client.connect(new HttpConnectOptions()
                        .setServer(SocketAddress.inetSocketAddress(feed))
                        .setHost(host)
                        .setPort(feed.getPort())
                        .setSsl(false))
                .compose(c -> {
                    call.up(c);
                    c.closeHandler(v -> to.ended("closed"));
                    return c.request(new RequestOptions()
                            .setMethod(HttpMethod.GET)
                            .setHost(host)
                            .setPort(feed.getPort())
                            .setURI("/v1/events"));
                })
                .compose(r -> r.putHeader("Accept", "text/event-stream")
                        .putHeader("Last-Event-ID", String.valueOf(last))
                        .send())
                .onSuccess(in -> read(in, to))
                .onFailure(e -> to.ended(String.valueOf(e.getMessage())));
        return call::close;
    }

    private static void read(HttpClientResponse in, Listener to) {
        if (in.statusCode() != 200) {
            to.ended("status " + in.statusCode());
            return;
        }
        to.up();
        in.handler(to::bytes);
        in.exceptionHandler(e -> to.ended(String.valueOf(e.getMessage())));
        in.endHandler(v -> to.ended("ended"));
    }

    /** May be closed before its connection is up. */
    private static final class Call {
        private HttpClientConnection connection;
        private boolean closed;

        void up(HttpClientConnection c) {
            connection = c;
            if (closed) {
                c.close();
                throw new IllegalStateException("overtaken");
            }
        }

        void close() {
            closed = true;
            if (connection != null) {
                connection.close();
            }
        }
    }
}
