package pewtercourse.director;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import pewtercourse.cache.CacheConnection;
import pewtercourse.cache.CacheRequest;
import pewtercourse.cache.CacheResponse;
import pewtercourse.cache.Transport;
import pewtercourse.cache.WriteCheck;

/** Connections to caches whose establishment and responses a test completes. Used on the event loop. */
final class ScriptedTransport implements Transport {
    final List<Promise<CacheResponse>> exchanges = new ArrayList<>();
    final List<CacheRequest> requests = new ArrayList<>();
    final List<Promise<Void>> connects = new ArrayList<>(); // Used if holdsConnects is set.
    boolean holdsConnects;
    Runnable onReadArrived = () -> {};

    @Override
    public Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs) {
        if (!holdsConnects) {
            return Future.succeededFuture(connection());
        }
        connects.add(Promise.promise());
        return connects.get(connects.size() - 1).future().map(v -> connection());
    }

    private CacheConnection connection() {
        return new CacheConnection() {
            private boolean open = true;

            @Override
            public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
                if (!check.mayWrite() || check.timeoutMs().isEmpty()) {
                    return Future.failedFuture("not written");
                }
                requests.add(request);
                exchanges.add(Promise.promise());
                return exchanges.get(exchanges.size() - 1).future();
            }

            @Override
            public void readArrived() {
                onReadArrived.run();
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
        };
    }
}
