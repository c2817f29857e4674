package pewtercourse.cache;

import io.netty.buffer.ByteBufAllocator;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import pewtercourse.eventloop.SocketInput;
import pewtercourse.memory.ReadControl;
import pewtercourse.memory.SocketReads;

/**
 * Speaks HTTP/1.1 with caches on Vert.x sockets. The HTTP client of Vert.x is not used: it reads a body without
 * a limit, takes the end of the connection for the end of a response, and does not report bytes that follow a
 * response. The bytes of responses are counted while they are received, and their reading is paused when the director
 * holds too many.
 */
public final class HttpTransport implements Transport {
    // What comes with the head of a response is read before its memory is reserved.
    private static final int MAX_PIECE_BYTES = 8 * 1024;

    private final NetClient client;
    private final ReadControl readControl;

    /** Creates a transport whose connections run on the event loop of {@code vertx}, as {@code readControl} does. */
    public HttpTransport(Vertx vertx, ReadControl readControl) {
        this.readControl = readControl;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs) {
        String host = address.getAddress().getHostAddress() + ':' + address.getPort();
        ConnectOptions options = new ConnectOptions()
                .setRemoteAddress(SocketAddress.inetSocketAddress(address))
                .setTimeout((int) timeoutMs);
        return client.connect(options).map(socket -> new Connection((NetSocketInternal) socket, host));
    }

    private final class Connection implements CacheConnection, ReadControl.PausableRead {
        private final NetSocketInternal socket;
        private final String host;
        private final ResponseReader reader = new ResponseReader();
        private Promise<CacheResponse> response;
        private boolean open = true;
        private boolean reserved;
        private boolean paused;
        private Runnable onClose = () -> {};

        Connection(NetSocketInternal socket, String host) {
            this.socket = socket;
            this.host = host;
            SocketReads.limitPieces(socket, MAX_PIECE_BYTES);
            socket.handler(this::read);
            socket.exceptionHandler(Connection::rethrowError);
            socket.closeHandler(v -> {
                onClose.run();
                onEnded();
            });
        }

        private void onEnded() {
            open = false;
            if (response != null) {
                response.tryFail("closed");
            }
            endResponse();
        }

        // The library reports the end of a connection later only, as a task of the event loop.
        @Override
        public void readArrived() {
            if (open && !SocketInput.readArrived(socket, () -> open && !paused)) {
                onEnded();
            }
        }

        // A broken connection ends by its close handler. An Error concerns the whole process.
        private static void rethrowError(Throwable e) {
            if (e instanceof Error error) {
                throw error;
            }
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
                // The receiver counts the bytes of the body from now on.
                receiver.tryComplete(complete);
                endResponse();
            } else if (!reserved && reader.hasHead()) {
                reserved = true;
                readControl.reserve(this, reader.expectedBytes(), reader.heldBytes());
            }
        }

        private void endResponse() {
            if (reserved) {
                reserved = false;
                readControl.release(this);
            }
        }

        @Override
        public void pause() {
            paused = true;
            SocketReads.pause(socket);
        }

        @Override
        public void resume() {
            paused = false;
            SocketReads.resume(socket);
        }

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
            CacheRequest.Encoded encoded = request.encode(host);
            if (!check.mayWrite() || !open) {
                return Future.failedFuture("not written");
            }
            Promise<CacheResponse> exchange = Promise.promise();
            response = exchange;
            reader.expectResponseTo(request);
            ByteBufAllocator allocator = socket.channelHandlerContext().alloc();
            socket.writeMessage(new RequestWrite(allocator, encoded, check)).onFailure(exchange::tryFail);
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
            endResponse();
            socket.close();
        }
    }
}
