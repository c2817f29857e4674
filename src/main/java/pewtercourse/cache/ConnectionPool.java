package pewtercourse.cache;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongSupplier;
import pewtercourse.Timers;

/**
 * Keeps idle connections to caches and limits the number of open ones, so that the process does not run out of
 * file descriptors. Connections are kept by the cache's number, not by its address: a new cache may listen at
 * the address of one that is gone, and must not get its connections. The most recently used connection is
 * reused first. Confined to the event loop; times are microseconds.
 */
public final class ConnectionPool {
    private record IdleConnection(CacheConnection connection, long idleSince) {}

    // A connection is not reused at once after a response: bytes that follow it, a second copy or noise, would
    // be taken for the response to the next request. There are two waits, because after a stall of the process
    // the first may have ended before the bytes that arrived meanwhile are read.
    private static final long SETTLE_MS = 8;
    private static final long SECOND_SETTLE_MS = 2;

    private final Transport transport;
    private final Timers timers;
    private final LongSupplier clock;
    private long maxIdleMicros;
    private final int maxConnections;
    private final Map<Long, Deque<IdleConnection>> idleByCache = new HashMap<>();
    private int connections;
    private long requestsWritten;

    /** Creates an empty pool; an idle connection is not reused after {@code maxIdleMicros}. */
    public ConnectionPool(
            Transport transport, Timers timers, LongSupplier clock, long maxIdleMicros, int maxConnections) {
        this.transport = transport;
        this.timers = timers;
        this.clock = clock;
        this.maxIdleMicros = maxIdleMicros;
        this.maxConnections = maxConnections;
    }

    /** Changes the time after which an idle connection is not reused. */
    public void setMaxIdleMicros(long micros) {
        maxIdleMicros = micros;
    }

    /** Takes an idle connection to a cache that is still open out of the pool; null if there is none. */
    CacheConnection acquireIdle(long cacheId) {
        Deque<IdleConnection> idle = idleByCache.get(cacheId);
        while (idle != null && !idle.isEmpty()) {
            IdleConnection last = idle.pollLast();
            last.connection.readArrived();
            if (last.connection.isOpen() && clock.getAsLong() - last.idleSince < maxIdleMicros) {
                return last.connection;
            }
            last.connection.close();
        }
        return null;
    }

    /** Counts a request that was written to a connection. */
    void recordRequestWritten() {
        requestsWritten++;
    }

    /** Number of requests written to connections so far. */
    public long requestsWritten() {
        return requestsWritten;
    }

    /** Number of connections that are open, being established, or not yet known to be closed. */
    public int connections() {
        return connections;
    }

    /** Number of idle connections. */
    public int idleConnections() {
        return idleByCache.values().stream().mapToInt(Deque::size).sum();
    }

    /** Opens a connection; null if the maximum number is open and none of them is idle. */
    Future<CacheConnection> connect(InetSocketAddress address, long timeoutMs) {
        if (connections >= maxConnections && !closeOneIdle()) {
            return null;
        }
        connections++;
        return transport.connect(address, timeoutMs).onComplete(result -> {
            if (result.succeeded()) {
                result.result().onClose(() -> connections--);
            } else {
                connections--;
            }
        });
    }

    /**
     * Identifies the process of the cache that connections lead to now. The value changes when the cache is
     * removed and added again, and is null while it is not in the pool: a connection that was opened under
     * another value must not be used.
     */
    public Object generation(long cacheId) {
        return idleByCache.get(cacheId);
    }

    /**
     * Returns a connection after a complete response; it is reused once no bytes have followed that response
     * for a while.
     */
    void release(long cacheId, Object generation, CacheConnection connection) {
        if (!connection.isOpen()) {
            connection.close();
            return;
        }
        timers.set(SETTLE_MS, () -> timers.set(SECOND_SETTLE_MS, () -> keepIdle(cacheId, generation, connection)));
    }

    /** Keeps a connection that carries no request for reuse, or closes it if its cache was removed. */
    void keepIdle(long cacheId, Object generation, CacheConnection connection) {
        Deque<IdleConnection> idle = idleByCache.get(cacheId);
        if (idle == null || idle != generation || !connection.isOpen()) {
            connection.close();
            return;
        }
        idle.addLast(new IdleConnection(connection, clock.getAsLong()));
        while (clock.getAsLong() - idle.peekFirst().idleSince >= maxIdleMicros) {
            idle.pollFirst().connection.close();
        }
    }

    /** Adds a cache, unless it is in the pool already: its idle connections are kept from now on. */
    public void addCache(long cacheId) {
        idleByCache.putIfAbsent(cacheId, new ArrayDeque<>());
    }

    /** Closes the idle connections to a cache; with {@code remove} the cache leaves the pool. */
    public void closeIdleConnections(long cacheId, boolean remove) {
        Deque<IdleConnection> idle = remove ? idleByCache.remove(cacheId) : idleByCache.get(cacheId);
        while (idle != null && !idle.isEmpty()) {
            idle.pollLast().connection.close();
        }
    }

    private boolean closeOneIdle() {
        for (Iterator<Deque<IdleConnection>> queues = idleByCache.values().iterator(); queues.hasNext(); ) {
            Deque<IdleConnection> idle = queues.next();
            if (!idle.isEmpty()) {
                idle.pollFirst().connection.close();
                return true;
            }
        }
        return false;
    }
}
