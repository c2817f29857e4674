package pewtercourse.cache;

import io.vertx.core.AsyncResult;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.Timers;

/**
 * One attempt at one cache: a connection, new or idle, then the request and its answer. It ends once, by
 * whichever comes first; what comes later is dropped. A connection whose answer has not come whole is closed,
 * which gives up the request.
 */
public final class Attempt {
    // A connection that comes up so long after its attempt was given up is kept for the next one.
    private static final long LATE_MS = 100;

    private final ConnectionPool pool;
    private final Timers timers;
    private final LongSupplier clock;
    private final long cache;
    private final InetSocketAddress address;
    private final CacheRequest request;
    private final long connectTimeout, until;
    private final BooleanSupplier stillRight;
    private final Consumer<CacheResponse> done;
    private Object generation;
    private CacheConnection connection;
    private long timer = -1;
    private boolean written, ended;

    /**
     * {@code until}: clock time at which it is given up. {@code stillRight} is asked just before the first byte
     * is written: what the feed has told meanwhile may forbid it.
     */
    public Attempt(
            ConnectionPool pool,
            Timers timers,
            LongSupplier clock,
            long cache,
            InetSocketAddress address,
            CacheRequest request,
            long connectTimeout,
            long until,
            BooleanSupplier stillRight,
            Consumer<CacheResponse> done) {
        this.pool = pool;
        this.timers = timers;
        this.clock = clock;
        this.cache = cache;
        this.address = address;
        this.request = request;
        this.connectTimeout = connectTimeout;
        this.until = until;
        this.stillRight = stillRight;
        this.done = done;
    }

    public void start() {
        generation = pool.generation(cache);
        connection = pool.take(cache);
        if (connection != null) {
            write();
            return;
        }
        var connecting = pool.connect(address, Timers.millis(connectTimeout) + LATE_MS);
        if (connecting == null) {
            end(CacheResponse.of(AttemptResult.NO_DESCRIPTOR));
            return;
        }
        long left = until - clock.getAsLong();
        timer = timers.set(
                Timers.millis(Math.min(connectTimeout, left)), () -> end(CacheResponse.of(AttemptResult.CONNECT_TIMEOUT)));
        // After a late turn the client's close may stand unread behind the connection's coming up.
        connecting.onComplete(c -> timers.afterReads(() -> connected(c)));
    }

    private void connected(AsyncResult<CacheConnection> c) {
        if (c.failed()) {
            end(CacheResponse.of(AttemptResult.REFUSED));
        } else if (ended) {
            pool.keep(cache, generation, c.result());
        } else {
            timers.cancel(timer);
            connection = c.result();
            write();
        }
    }

    private void write() {
        long left = until - clock.getAsLong();
        boolean replaced = pool.generation(cache) != generation;
        if (left <= 0 || replaced || !stillRight.getAsBoolean()) {
            pool.keep(cache, generation, connection);
            connection = null;
            end(CacheResponse.of(AttemptResult.OVERTAKEN));
            return;
        }
        if (!connection.isOpen()) {
            end(CacheResponse.of(AttemptResult.REFUSED)); // Nothing was written, so nothing ran.
            return;
        }
        written = true;
        pool.wrote();
        timer = timers.set(Timers.millis(left), () -> end(CacheResponse.of(AttemptResult.TIMEOUT)));
        // Once the request may have left, a connection that ends proves nothing: RESET, reused or not.
        connection
                .exchange(request, Math.max(1, left / 1000))
                .onComplete(a -> end(a.succeeded() ? a.result() : CacheResponse.of(AttemptResult.RESET)));
    }

    /** Withdraws it. Its end is told as for every other. */
    public void cancel() {
        end(CacheResponse.of(written ? AttemptResult.CANCELLED : AttemptResult.CANCELLED_UNSENT));
    }

    private void end(CacheResponse answer) {
        if (ended) {
            return;
        }
        ended = true;
        timers.cancel(timer);
        if (connection != null) {
            switch (answer.end()) {
                case SERVED, NOT_MODIFIED, MISS, FULL, EXPIRED, ERROR -> pool.giveBack(cache, generation, connection);
                default -> connection.close();
            }
        }
        done.accept(answer);
    }
}
