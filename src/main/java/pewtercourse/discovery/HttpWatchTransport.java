package pewtercourse.discovery;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;

/** Opens watches on the control feed over HTTP/1.1, each on a connection of its own. Event loop only. */
public final class HttpWatchTransport implements WatchTransport {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final String EVENTS_PATH = "/v1/events";
    private static final int OK = 200;

    private final HttpClientAgent client;

    /** Creates a transport with its own HTTP client. */
    public HttpWatchTransport(Vertx vertx) {
        client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setTcpNoDelay(true)
                .setIdleTimeout(0));
    }

    @Override
    public Connection open(InetSocketAddress feed, long lastEvent, Listener listener) {
        HttpWatch watch = new HttpWatch();
        client.connect(connectOptions(feed))
                .compose(connection -> {
                    watch.connected(connection);
                    connection.closeHandler(v -> listener.disconnected("closed"));
                    return connection.request(requestOptions(feed));
                })
                .compose(request -> send(request, lastEvent))
                .onSuccess(response -> read(response, listener))
                .onFailure(failure -> listener.disconnected(String.valueOf(failure.getMessage())));
        return watch;
    }

    private static HttpConnectOptions connectOptions(InetSocketAddress feed) {
        return new HttpConnectOptions()
                .setServer(SocketAddress.inetSocketAddress(feed))
                .setHost(feed.getAddress().getHostAddress())
                .setPort(feed.getPort())
                .setSsl(false);
    }

    private static RequestOptions requestOptions(InetSocketAddress feed) {
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(feed.getAddress().getHostAddress())
                .setPort(feed.getPort())
                .setURI(EVENTS_PATH);
    }

    private static Future<HttpClientResponse> send(HttpClientRequest request, long lastEvent) {
        return request.putHeader("Accept", "text/event-stream")
                .putHeader("Last-Event-ID", String.valueOf(lastEvent))
                .send();
    }

    private static void read(HttpClientResponse response, Listener listener) {
        if (response.statusCode() != OK) {
            listener.disconnected("status " + response.statusCode());
            return;
        }
        listener.connected();
        response.handler(listener::received);
        response.exceptionHandler(failure -> listener.disconnected(String.valueOf(failure.getMessage())));
        response.endHandler(v -> listener.disconnected("ended"));
    }

    /** A watch, which may be closed before its connection is established. */
    private static final class HttpWatch implements Connection {
        private HttpClientConnection connection;
        private boolean closed;

        void connected(HttpClientConnection newConnection) {
            connection = newConnection;
            if (closed) {
                newConnection.close();
                throw new IllegalStateException("overtaken");
            }
        }

        @Override
        public void close() {
            closed = true;
            if (connection != null) {
                connection.close();
            }
        }
    }
}
