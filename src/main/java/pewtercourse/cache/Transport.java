package pewtercourse.cache;

import io.vertx.core.Future;
import java.net.InetSocketAddress;

/** Opens connections to caches. */
public interface Transport {
    /** Opens a connection; fails if it is not established within {@code timeoutMs}. */
    Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs);
}
