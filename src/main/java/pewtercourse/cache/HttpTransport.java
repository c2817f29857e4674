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
 * Speaks HTTP/1.1 with caches on Vert.x sockets. The HTTP client of Vert.x is not used: it reads a body without
 * a limit, takes the end of the connection for the end of a response, and does not report bytes that follow a
 * response.
 */
public final class HttpTransport implements Transport {
    private final NetClient client;

    /** Creates a transport whose connections run on the event loops of {@code vertx}. */
    public HttpTransport(Vertx vertx) {
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs) {
        String host = address.getAddress().getHostAddress() + ':' + address.getPort();
        ConnectOptions options = new ConnectOptions()
                .setRemoteAddress(SocketAddress.inetSocketAddress(address))
                .setTimeout((int) timeoutMs);
        return client.connect(options).map(socket -> new Connection(socket, host));
    }

    private static final class Connection implements CacheConnection {
        private final NetSocket socket;
        private final String host;
        private final ResponseReader reader = new ResponseReader();
        private Promise<CacheResponse> response;
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
                if (response != null) {
                    response.tryFail("closed");
                }
            });
        }

        private void read(Buffer bytes) {
            if (response == null || response.future().isComplete()) {
                close(); // Bytes without a request would be taken for the next response.
                return;
            }
            CacheResponse complete = reader.read(bytes);
            if (complete != null) {
                open &= reader.isReusable();
                Promise<CacheResponse> receiver = response;
                response = null; // An idle connection must not keep the last response.
                receiver.tryComplete(complete);
            }
        }

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, long timeoutMs) {
            Promise<CacheResponse> exchange = Promise.promise();
            response = exchange;
            if (open) {
                reader.expectResponseTo(request);
                socket.write(request.encode(host, timeoutMs));
            } else {
                exchange.fail("closed");
            }
            return exchange.future();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable listener) {
            onClose = listener;
        }

        @Override
        public void close() {
            open = false;
            socket.close();
        }
    }
}
