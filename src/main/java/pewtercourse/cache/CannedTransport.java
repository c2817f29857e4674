package pewtercourse.cache;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;

/** Caches that are not there: each answers at once with the same bytes, read as a real answer would be. */
public final class CannedTransport implements Transport {
    private static final Buffer ANSWER = Buffer.buffer("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n"
            + "ETag: 4be0c1927d55a6f3\r\nX-Born-Ms: 1\r\nOutcome: mem\r\nLoad-Report: inflight:1;x0:0.5\r\n\r\n"
            + "menu".repeat(1_000));

    private final Vertx vertx;

    public CannedTransport(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public Future<CacheConnection> connect(InetSocketAddress to, long timeoutMs) {
        return Future.succeededFuture(new Connection());
    }

    private final class Connection implements CacheConnection {
        private boolean open = true;

        @Override
        public Future<CacheResponse> exchange(CacheRequest request, long timeoutMs) {
            Promise<CacheResponse> answer = Promise.promise();
            ResponseReader reader = new ResponseReader();
            reader.expect(request);
            request.encode("0.0.0.0:0", timeoutMs);
            vertx.runOnContext(v -> answer.complete(reader.add(ANSWER)));
            return answer.future();
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public void onClose(Runnable then) {}

        @Override
        public void close() {
            open = false;
        }
    }
}
