package pewtercourse.cache;

import io.vertx.core.Future;

/** A connection to a cache, which carries one request at a time. */
public interface CacheConnection {
    /**
     * Writes the request if the check, which is evaluated last, allows it. Fails if it does not, if the check expires before
     * the request is written ({@link WriteExpiredException}), or if the connection ends before the response is complete.
     */
    Future<CacheResponse> exchange(CacheRequest request, WriteCheck check);

    /**
     * Reads what the cache has sent until now, and handles it before this returns. Must not be called while responses are
     * read.
     */
    default void readArrived() {}

    /** Whether the connection may carry another request. */
    boolean isOpen();

    /** Sets what runs when the connection has been closed by either side. */
    void onClose(Runnable listener);

    void close();
}
