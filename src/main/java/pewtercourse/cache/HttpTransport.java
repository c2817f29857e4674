package pewtercourse.cache;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;

/**
 * HTTP/1.1 by the library's client, with its pool left out: a connection is asked for, used and closed by this
 * package alone, so that nothing is pipelined or sent again by itself.
 */
public final class HttpTransport implements Transport {
    private final HttpClientAgent client;

    /** Connections not up after {@code connectTimeoutMs} are dropped by the library, whoever waits. */
    public HttpTransport(Vertx vertx, int connectTimeoutMs) {
        client = vertx.createHttpClient(new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_1_1)
                .setPipelining(false).setKeepAlive(true).setKeepAliveTimeout(0).setIdleTimeout(0)
                .setConnectTimeout(connectTimeoutMs).setTcpNoDelay(true).setDecompressionSupported(false)
                .setMaxRedirects(0));
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress to) {
        SocketAddress address = SocketAddress.inetSocketAddress(to);
        return client.connect(new HttpConnectOptions().setServer(address).setHost(to.getAddress().getHostAddress())
                .setPort(to.getPort()).setSsl(false)).map(c -> new Connection(c, to));
    }

    private static final class Connection implements CacheConnection {
        private final HttpClientConnection connection;
        private final InetSocketAddress to;
        private boolean open = true;
        private Runnable onClose = () -> { };

        Connection(HttpClientConnection connection, InetSocketAddress to) {
            this.connection = connection;
            this.to = to;
            connection.closeHandler(v -> {
                open = false;
                onClose.run();
            });
            connection.exceptionHandler(e -> { });
        }

        @Override
        public Future<CacheAnswer> exchange(CacheRequest r, long timeoutMs) {
            boolean body = r.body().length() > 0;
            // GET with a body too: caches answer 400 to any other method, whatever the client's was.
            return connection.request(new RequestOptions().setMethod(HttpMethod.GET)
                    .setHost(to.getAddress().getHostAddress()).setPort(to.getPort()).setURI(r.path()))
                    .compose(out -> {
                        headers(out, r, timeoutMs);
                        return body ? out.send(r.body()) : out.send();
                    }).compose(in -> in.body().map(b -> {
                        // Said to be the last: one more request on it would be cut off, and might have run.
                        open &= !"close".equalsIgnoreCase(in.getHeader("Connection"));
                        return decode(in, b);
                    }));
        }

        private static void headers(HttpClientRequest out, CacheRequest r, long timeoutMs) {
            out.putHeader("Request-Id", r.id()).putHeader("Timeout-Ms", String.valueOf(timeoutMs));
            put(out, "X-Fill-From", r.source());
            put(out, "X-Keep", r.keep() > 0 ? String.valueOf(r.keep()) : null);
            put(out, "X-Max-Age-Ms", r.maxAgeMs() > 0 ? String.valueOf(r.maxAgeMs()) : null);
            put(out, "X-Flags", r.flags().isEmpty() ? null : r.flags());
            put(out, "If-None-Match", r.known());
        }

        private static void put(HttpClientRequest out, String name, String value) {
            if (value != null) {
                out.putHeader(name, value);
            }
        }

        private static CacheAnswer decode(HttpClientResponse in, Buffer body) {
            return CacheAnswer.decode(in.statusCode(), "1".equals(in.getHeader("Never-Ran")),
                    in.getHeader("Content-Length"), body, in.getHeader("ETag"), in.getHeader("Outcome"));
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable then) {
            onClose = then;
        }

        @Override
        public void close() {
            open = false;
            connection.close();
        }
    }
}
