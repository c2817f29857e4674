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
 * Idle connections to caches, by the cache's number: a new cache may come up at the address of one that is
 * gone, and must not get its connections. The last used is taken first. Counts every connection, so that the
 * descriptors last.
 */
public final class ConnectionPool {
    private record Idle(CacheConnection connection, long since) {}

    // A connection rests after an answer: bytes that come behind it, a second copy or noise, would else be taken for
    // the answer to the next request. Two waits, since after a stall of the program the first may be over before
    // what came meanwhile is read.
    private static final long SETTLE_MS = 8, SETTLE_AGAIN_MS = 2;

    private final Transport transport;
    private final Timers timers;
    private final LongSupplier clock;
    private long idleMost;
    private final int connectionsMost;
    private final Map<Long, Deque<Idle>> idle = new HashMap<>();
    private int connections;
    private long written;

    /** {@code idleMost}: microseconds after which an idle connection isn't used again. */
    public ConnectionPool(Transport transport, Timers timers, LongSupplier clock, long idleMost, int connectionsMost) {
        this.transport = transport;
        this.timers = timers;
        this.clock = clock;
        this.idleMost = idleMost;
        this.connectionsMost = connectionsMost;
    }

    /** From now on an idle connection isn't used again after this many microseconds. */
    public void idleMost(long micros) {
        idleMost = micros;
    }

    /** An idle connection that is still open, or null. */
    CacheConnection take(long cache) {
        Deque<Idle> of = idle.get(cache);
        while (of != null && !of.isEmpty()) {
            Idle i = of.pollLast();
            if (i.connection.isOpen() && clock.getAsLong() - i.since < idleMost) {
                return i.connection;
            }
            i.connection.close();
        }
        return null;
    }

    /** An attempt was written whole. */
    void wrote() {
        written++;
    }

    /** Attempts that were written whole. */
    public long written() {
        return written;
    }

    /** Connections that are up, coming up, or not known to be closed yet. */
    public int connections() {
        return connections;
    }

    /** Connections that nothing is asked on. */
    public int idle() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }

    /** A new connection, or null if there are as many as may be and none is idle. */
    Future<CacheConnection> connect(InetSocketAddress to, long timeoutMs) {
        if (connections >= connectionsMost && !closeOneIdle()) {
            return null;
        }
        connections++;
        return transport.connect(to, timeoutMs).onComplete(done -> {
            if (done.succeeded()) {
                done.result().onClose(() -> connections--);
            } else {
                connections--;
            }
        });
    }

    /**
     * Which process of the cache its connections lead to: another value, or null, once it has been dropped for good. A
     * connection that was dialled or used before that is of no use to the next process of the same name.
     */
    Object generation(long cache) {
        return idle.get(cache);
    }

    /** After an answer: it may be used again once nothing came behind that. */
    void giveBack(long cache, Object generation, CacheConnection c) {
        if (!c.isOpen()) {
            c.close();
            return;
        }
        timers.set(SETTLE_MS, () -> timers.set(SETTLE_AGAIN_MS, () -> keep(cache, generation, c)));
    }

    /** Nothing was asked on it since it came up, or since it was taken. */
    void keep(long cache, Object generation, CacheConnection c) {
        Deque<Idle> of = idle.get(cache);
        if (of == null || of != generation || !c.isOpen()) {
            c.close();
            return;
        }
        of.addLast(new Idle(c, clock.getAsLong()));
        while (clock.getAsLong() - of.peekFirst().since >= idleMost) {
            of.pollFirst().connection.close();
        }
    }

    /** From now on connections to this cache are kept. */
    public void admit(long cache) {
        idle.putIfAbsent(cache, new ArrayDeque<>());
    }

    /** The cache is gone, or is not trusted to answer: its idle connections are closed. */
    public void drop(long cache, boolean forGood) {
        Deque<Idle> of = forGood ? idle.remove(cache) : idle.get(cache);
        while (of != null && !of.isEmpty()) {
            of.pollLast().connection.close();
        }
    }

    private boolean closeOneIdle() {
        for (Iterator<Deque<Idle>> all = idle.values().iterator(); all.hasNext(); ) {
            Deque<Idle> of = all.next();
            if (!of.isEmpty()) {
                of.pollFirst().connection.close();
                return true;
            }
        }
        return false;
    }
}
