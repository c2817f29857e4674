package pewtercourse.cache;

import io.vertx.core.AsyncResult;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.Timers;

/**
 * Sends one request to one cache: acquires a connection, new or idle, writes the request and waits for the
 * response. Finishes exactly once, with the first result; later events are ignored. Unless the response is
 * complete and well-formed, its connection is closed, which makes the cache give up the request. Confined to
 * the event loop; times are microseconds.
 */
public final class Attempt {
    // A connection that is established up to this long after the connect timeout is kept for a later attempt.
    private static final long LATE_CONNECT_GRACE_MS = 100;
    // Half of the time after which an attempt for a client that has left breaks the rules: the other half is for the
    // network
    // and for the cache, which reads the request later than it was written.
    private static final long MAX_CHECK_AGE_MICROS = 50_000;
    // Half of the time in which the control feed's drains must be followed.
    private static final long MAX_UNREAD_MICROS = 250_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ConnectionPool pool;
    private final Timers timers;
    private final LongSupplier clock;
    private final long cacheId;
    private final InetSocketAddress address;
    private final CacheRequest request;
    private final long connectTimeoutMicros;
    private final long deadline;
    private final BooleanSupplier precondition;
    private final Consumer<CacheResponse> onFinished;
    private Object generation;
    private CacheConnection connection;
    private long timer = -1;
    private boolean exchangeBegun; // The connection carries the request, or will.
    private boolean requestWritten; // At least its first byte.
    private boolean finished;

    /**
     * Prepares an attempt; {@link #start} begins it.
     *
     * @param cacheId      number of the cache
     * @param deadline     clock time at which the attempt times out
     * @param precondition whether the request may still be sent; evaluated just before its first byte is
     *     written, since the client may have left and the control feed may have removed an endpoint or purged the object
     *     while the connection was established; it may cancel this attempt
     * @param onFinished   receives the result, once
     */
    public Attempt(
            ConnectionPool pool,
            Timers timers,
            LongSupplier clock,
            long cacheId,
            InetSocketAddress address,
            CacheRequest request,
            long connectTimeoutMicros,
            long deadline,
            BooleanSupplier precondition,
            Consumer<CacheResponse> onFinished) {
        this.pool = pool;
        this.timers = timers;
        this.clock = clock;
        this.cacheId = cacheId;
        this.address = address;
        this.request = request;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.deadline = deadline;
        this.precondition = precondition;
        this.onFinished = onFinished;
    }

    /** Starts the attempt on an idle connection, or on a new one if there is none. */
    public void start() {
        generation = pool.generation(cacheId);
        connection = pool.acquireIdle(cacheId);
        if (connection != null) {
            writeAfterRecentReads();
            return;
        }
        var connecting = pool.connect(address, Timers.millis(connectTimeoutMicros) + LATE_CONNECT_GRACE_MS);
        if (connecting == null) {
            finish(CacheResponse.of(AttemptResult.NO_DESCRIPTOR));
            return;
        }
        long remainingMicros = deadline - clock.getAsLong();
        timer = timers.set(
                Timers.millis(Math.min(connectTimeoutMicros, remainingMicros)),
                () -> timers.afterReads(this::onConnectTimeout));
        // After a long turn of the event loop the client's close may still be unread when the connection is
        // established: it is read first.
        connecting.onComplete(result -> timers.afterReads(() -> onConnected(result)));
    }

    // The connection may have been established while the event loop was behind.
    private void onConnectTimeout() {
        if (connection == null) {
            finish(CacheResponse.of(AttemptResult.CONNECT_TIMEOUT));
        }
    }

    // The response may have arrived while the event loop was behind.
    private void onTimeout() {
        readArrived();
        finish(CacheResponse.of(AttemptResult.TIMEOUT));
    }

    private void onConnected(AsyncResult<CacheConnection> result) {
        if (result.failed()) {
            finish(CacheResponse.of(AttemptResult.REFUSED));
        } else if (finished) {
            pool.keepIdle(cacheId, generation, result.result());
        } else {
            timers.cancel(timer);
            connection = result.result();
            writeAfterRecentReads();
        }
    }

    // After a stop of the process or a long turn, all sockets are read first: a drain or a purge may have arrived.
    private void writeAfterRecentReads() {
        boolean readRecently = timers.maxUnreadMicros() <= MAX_UNREAD_MICROS;
        if (readRecently || clock.getAsLong() >= deadline) {
            writeRequest();
        } else {
            timers.afterReads(this::writeAfterRecentReads);
        }
    }

    // The request may have left once it is written: if the connection ends then, it may have run.
    private void writeRequest() {
        var exchange = connection.exchange(request, new CheckBeforeWrite());
        if (finished) {
            return;
        }
        timer = timers.set(Timers.millis(deadline - clock.getAsLong()), this::onTimeout);
        exchange.onComplete(exchanged -> finish(exchanged.succeeded() ? exchanged.result() : failedExchange()));
    }

    private CacheResponse failedExchange() {
        return CacheResponse.of(requestWritten ? AttemptResult.RESET : AttemptResult.OVERTAKEN);
    }

    private final class CheckBeforeWrite implements WriteCheck {
        private long checkedAt;

        @Override
        public boolean mayWrite() {
            checkedAt = clock.getAsLong();
            boolean maySend = precondition.getAsBoolean(); // May cancel this attempt.
            if (!finished && !connection.isOpen()) {
                finish(CacheResponse.of(AttemptResult.REFUSED));
            }
            boolean cacheReplaced = pool.generation(cacheId) != generation;
            if (deadline <= clock.getAsLong() || cacheReplaced || !maySend) {
                finish(CacheResponse.of(AttemptResult.OVERTAKEN));
            }
            exchangeBegun = !finished;
            return exchangeBegun;
        }

        @Override
        public OptionalLong timeoutMs() {
            long now = clock.getAsLong();
            if (finished || now >= deadline) {
                return OptionalLong.empty();
            }
            if (now - checkedAt > MAX_CHECK_AGE_MICROS) {
                Log.counted(
                        "attempt.check_expired",
                        "cache",
                        Long.toHexString(cacheId),
                        "age_ms",
                        (now - checkedAt) / MICROS_PER_MILLI);
                return OptionalLong.empty();
            }
            if (!requestWritten) {
                requestWritten = true;
                pool.recordRequestWritten();
            }
            return OptionalLong.of(Math.max(1, (deadline - now) / MICROS_PER_MILLI));
        }
    }

    /** Reads what the cache has sent until now; the attempt finishes if that completes the response. */
    public void readArrived() {
        if (!finished && requestWritten) {
            connection.readArrived();
        }
    }

    /** Cancels the attempt, if its response has not arrived; its result is reported like any other. */
    public void cancel() {
        readArrived();
        finish(CacheResponse.of(requestWritten ? AttemptResult.CANCELLED : AttemptResult.CANCELLED_UNSENT));
    }

    private void finish(CacheResponse response) {
        if (finished) {
            return;
        }
        finished = true;
        timers.cancel(timer);
        if (connection != null) {
            releaseConnection(response.result());
        }
        onFinished.accept(response);
    }

    private void releaseConnection(AttemptResult result) {
        if (!exchangeBegun) {
            pool.keepIdle(cacheId, generation, connection);
            return;
        }
        switch (result) {
            case SERVED, NOT_MODIFIED, MISS, FULL, EXPIRED, ERROR -> pool.release(cacheId, generation, connection);
            default -> connection.close();
        }
    }
}
