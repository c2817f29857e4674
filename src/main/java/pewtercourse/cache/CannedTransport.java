package pewtercourse.cache;

import io.netty.buffer.ByteBufAllocator;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.WritableByteChannel;

/**
 * Stands in for all caches without opening a socket: answers each request at once with the same bytes, which
 * are decoded like a real response.
 */
public final class CannedTransport implements Transport {
    private static final Buffer RESPONSE = Buffer.buffer("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n"
            + "ETag: 4be0c1927d55a6f3\r\nX-Born-Ms: 1\r\nOutcome: mem\r\nLoad-Report: inflight:1;x0:0.5\r\n\r\n"
            + "menu".repeat(1_000));

    private static final WritableByteChannel DISCARDING = Channels.newChannel(OutputStream.nullOutputStream());

    private final Vertx vertx;

    /** Creates a transport that responds on the current event loop of {@code vertx}. */
    public CannedTransport(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs) {
        return Future.succeededFuture(new Connection());
    }

    private final class Connection implements CacheConnection {
        private boolean open = true;

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
            CacheRequest.Encoded encoded = request.encode("0.0.0.0:0");
            if (!check.mayWrite()) {
                return Future.failedFuture("not written");
            }
            RequestWrite write = new RequestWrite(ByteBufAllocator.DEFAULT, encoded, check);
            try {
                write.transferTo(DISCARDING, 0);
            } catch (IOException e) {
                return Future.failedFuture(e);
            } finally {
                write.release();
            }
            Promise<CacheResponse> response = Promise.promise();
            ResponseReader reader = new ResponseReader();
            reader.expectResponseTo(request);
            vertx.runOnContext(v -> response.complete(reader.read(RESPONSE)));
            return response.future();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable listener) {}

        @Override
        public void close() {
            open = false;
        }
    }
}
