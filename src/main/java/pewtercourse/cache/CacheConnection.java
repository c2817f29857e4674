package pewtercourse.cache;

import io.vertx.core.Future;

/** A connection to a cache, which carries one request at a time. */
public interface CacheConnection {
    /** Writes the request; fails if the connection ends before the whole answer has come. */
    Future<CacheResponse> exchange(CacheRequest request, long timeoutMs);

    boolean isOpen();

    void onClose(Runnable then);

    void close();
}
