package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pewtercourse.Timers;

/** What has arrived from a cache is not read yet when a timer fires or the attempt is cancelled. */
class AttemptUnreadResponseTest {
    private static final long DEADLINE = 500_000;
    private static final CacheRequest REQUEST =
            new CacheRequest("9b1f", "page", "7f3a", 0, null, Buffer.buffer(), null, 0, 0, false, false, false, null);

    private final List<Runnable> timers = new ArrayList<>();
    private final List<Runnable> afterReads = new ArrayList<>();
    private final Promise<CacheConnection> connecting = Promise.promise();
    private Promise<CacheResponse> response;
    private boolean hasUnreadResponse;
    private boolean hasUnreadEnd;
    private boolean open = true;
    private boolean maySend = true;
    private long now;
    private long maxUnreadMicros;
    private AttemptResult result;
    private Attempt attempt;

    private final class Connection implements CacheConnection {
        @Override
        public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
            if (!check.mayWrite() || check.timeoutMs().isEmpty()) {
                return Future.failedFuture("not written");
            }
            response = Promise.promise();
            return response.future();
        }

        @Override
        public void readArrived() {
            if (hasUnreadResponse) {
                response.tryComplete(CacheResponse.of(AttemptResult.NOT_MODIFIED));
            }
            open &= !hasUnreadEnd;
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
    }

    private final Timers fakeTimers = new Timers() {
        @Override
        public long set(long delayMs, Runnable action) {
            timers.add(action);
            return timers.size();
        }

        @Override
        public void cancel(long timerId) {}

        @Override
        public void afterReads(Runnable action) {
            afterReads.add(action);
        }

        @Override
        public long maxUnreadMicros() {
            return maxUnreadMicros;
        }
    };

    private final ConnectionPool pool =
            new ConnectionPool((address, timeoutMs) -> connecting.future(), fakeTimers, () -> now, 1_000_000, 4);

    private void start() {
        pool.addCache(1);
        attempt = new Attempt(
                pool,
                fakeTimers,
                () -> now,
                1,
                new InetSocketAddress("127.0.0.1", 9),
                REQUEST,
                100_000,
                DEADLINE,
                () -> maySend,
                finished -> result = finished.result());
        attempt.start();
    }

    private void startOnNewConnection() {
        start();
        connecting.complete(new Connection());
        afterReads.remove(0).run();
    }

    private void fireLastTimer() {
        timers.get(timers.size() - 1).run();
    }

    @Test
    void aTimeoutDoesNotDropAResponseThatHasArrived() {
        startOnNewConnection();
        hasUnreadResponse = true;
        fireLastTimer();
        assertEquals(AttemptResult.NOT_MODIFIED, result);
    }

    @Test
    void aCancellationDoesNotDropAResponseThatHasArrived() {
        startOnNewConnection();
        hasUnreadResponse = true;
        attempt.cancel();
        assertEquals(AttemptResult.NOT_MODIFIED, result);
    }

    @Test
    void aConnectTimeoutDoesNotDropAConnectionThatIsEstablished() {
        start();
        fireLastTimer();
        assertNull(result, "concluded before the sockets were read");
        connecting.complete(new Connection());
        afterReads.remove(1).run();
        afterReads.remove(0).run();
        assertNull(result, "the request was written on the new connection");
        fireLastTimer();
        assertEquals(AttemptResult.TIMEOUT, result);
    }

    @Test
    void aConnectTimeoutEndsAnAttemptWithoutAConnection() {
        start();
        fireLastTimer();
        afterReads.remove(0).run();
        assertEquals(AttemptResult.CONNECT_TIMEOUT, result);
    }

    @Test
    void anIdleConnectionWhoseEndHasArrivedIsNotUsed() {
        pool.addCache(1);
        pool.keepIdle(1, pool.generation(1), new Connection());
        hasUnreadEnd = true;
        assertNull(pool.acquireIdle(1));
        assertFalse(open);
    }

    // Guards against an attempt at a cache whose drain arrived while the process was stopped.
    @Test
    void allSocketsAreReadAfterAStopBeforeARequestIsWritten() {
        maxUnreadMicros = 250_001;
        startOnNewConnection();
        assertNull(response, "written before the sockets were read");
        maxUnreadMicros = 250_000;
        maySend = false;
        afterReads.remove(0).run();
        assertNull(response, "written though what was read forbids it");
        assertEquals(AttemptResult.OVERTAKEN, result);
    }

    @Test
    void anAttemptThatIsCancelledUntilTheSocketsAreReadIsNotWritten() {
        maxUnreadMicros = 250_001;
        startOnNewConnection();
        attempt.cancel();
        maxUnreadMicros = 0;
        afterReads.remove(0).run();
        assertNull(response);
        assertEquals(AttemptResult.CANCELLED_UNSENT, result);
        assertEquals(1, pool.idleConnections());
    }

    @Test
    void anAttemptThatWaitsForReadsEndsByItsDeadline() {
        maxUnreadMicros = 250_001;
        startOnNewConnection();
        now = DEADLINE;
        afterReads.remove(0).run();
        assertEquals(AttemptResult.OVERTAKEN, result);
    }

    @Test
    void aConnectionIsKeptIfTheRequestMayNotBeSent() {
        maySend = false;
        startOnNewConnection();
        assertEquals(AttemptResult.OVERTAKEN, result);
        assertEquals(1, pool.idleConnections());
    }
}
