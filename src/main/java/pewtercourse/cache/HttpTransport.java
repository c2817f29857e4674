package pewtercourse.cache;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;

/**
 * HTTP/1.1 on the library's sockets, read by its decoder. Its HTTP client is left out: that one reads a body
 * without a bound, takes the end of a connection for the end of an answer, and can't tell what came after.
 */
public final class HttpTransport implements Transport {
    private final NetClient client;

    public HttpTransport(Vertx vertx) {
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress to, long timeoutMs) {
        String host = to.getAddress().getHostAddress() + ':' + to.getPort();
        ConnectOptions options = new ConnectOptions()
                .setRemoteAddress(SocketAddress.inetSocketAddress(to))
                .setTimeout((int) timeoutMs);
        return client.connect(options).map(s -> new Connection(s, host));
    }

    private static final class Connection implements CacheConnection {
        private final NetSocket socket;
        private final String host;
        private final ResponseReader reader = new ResponseReader();
        private Promise<CacheResponse> answer;
        private boolean open = true;
        private Runnable onClose = () -> {};

        Connection(NetSocket socket, String host) {
            this.socket = socket;
            this.host = host;
            socket.handler(this::read);
            socket.exceptionHandler(e -> {});
            socket.closeHandler(v -> {
                open = false;
                onClose.run();
                if (answer != null) {
                    answer.tryFail("closed");
                }
            });
        }

        private void read(Buffer bytes) {
            if (answer == null || answer.future().isComplete()) {
                close(); // What comes unasked spoils the next answer.
                return;
            }
            CacheResponse a = reader.add(bytes);
            if (a != null) {
                open &= reader.clean();
                answer.tryComplete(a);
            }
        }

        @Override
        public Future<CacheResponse> exchange(CacheRequest r, long timeoutMs) {
            answer = Promise.promise();
            if (open) {
                reader.expect(r);
                socket.write(r.encode(host, timeoutMs));
            } else {
                answer.fail("closed");
            }
            return answer.future();
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
            socket.close();
        }
    }
}
