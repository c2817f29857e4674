package pewtercourse.cache;

import io.vertx.core.Future;
import java.net.InetSocketAddress;

/** Opens connections to caches. */
public interface Transport {
    /** A connection that is not up after {@code timeoutMs} is dropped, whoever waits for it. */
    Future<CacheConnection> connect(InetSocketAddress to, long timeoutMs);
}
