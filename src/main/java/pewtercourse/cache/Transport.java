package pewtercourse.cache;

import io.vertx.core.Future;
import java.net.InetSocketAddress;

/** Opens connections to caches. */
public interface Transport {
    Future<CacheConnection> connect(InetSocketAddress to);
}
