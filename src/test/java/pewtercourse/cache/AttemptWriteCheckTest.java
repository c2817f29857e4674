package pewtercourse.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import pewtercourse.Timers;

/** Time passes between the check before an attempt and the write of its bytes. Times are microseconds. */
class AttemptWriteCheckTest {
    private static final long DEADLINE = 500_000;
    private static final CacheRequest REQUEST =
            new CacheRequest("9b1f", "page", "7f3a", 0, null, Buffer.buffer(), null, 0, 0, false, false, false, null);

    private final List<Long> delaysBeforeWrites = new ArrayList<>();
    private final List<Long> writtenTimeouts = new ArrayList<>();
    private final Promise<CacheResponse> response = Promise.promise();
    private Runnable beforeWrite = () -> {};
    private boolean open = true;
    private long now;
    private AttemptResult result;
    private Attempt attempt;

    private final class Connection implements CacheConnection {
        @Override
        public Future<CacheResponse> exchange(CacheRequest request, WriteCheck check) {
            if (!check.mayWrite()) {
                return Future.failedFuture("not written");
            }
            beforeWrite.run();
            for (long delay : delaysBeforeWrites) {
                now += delay;
                OptionalLong timeoutMs = check.timeoutMs();
                if (timeoutMs.isEmpty()) {
                    return Future.failedFuture(new WriteExpiredException());
                }
                writtenTimeouts.add(timeoutMs.getAsLong());
            }
            return response.future();
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

    private static final class NoTimers implements Timers {
        @Override
        public long set(long delayMs, Runnable action) {
            return 1;
        }

        @Override
        public void cancel(long timerId) {}
    }

    private final ConnectionPool pool = new ConnectionPool(
            (address, timeoutMs) -> Future.succeededFuture(new Connection()), new NoTimers(), () -> now, 1_000_000, 4);

    private void start(Long... delays) {
        delaysBeforeWrites.addAll(List.of(delays));
        pool.addCache(1);
        attempt = new Attempt(
                pool,
                new NoTimers(),
                () -> now,
                1,
                new InetSocketAddress("127.0.0.1", 9),
                REQUEST,
                100_000,
                DEADLINE,
                () -> true,
                finished -> result = finished.result());
        attempt.start();
    }

    @Test
    void tellsTheCacheTheTimeThatIsLeftWhenTheBytesLeave() {
        start(50_000L);
        assertEquals(List.of(450L), writtenTimeouts);
        assertEquals(1, pool.requestsWritten());
        assertNull(result);
    }

    @Test
    void writesNothingIfTheProcessWasStoppedAfterTheCheck() {
        start(50_001L);
        assertEquals(List.of(), writtenTimeouts);
        assertEquals(0, pool.requestsWritten());
        assertEquals(AttemptResult.OVERTAKEN, result);
        assertEquals(0, pool.idleConnections());
    }

    @Test
    void writesNothingIfTheDeadlinePassesAfterTheCheck() {
        now = DEADLINE - 1_000;
        start(1_000L);
        assertEquals(List.of(), writtenTimeouts);
        assertEquals(AttemptResult.OVERTAKEN, result);
    }

    @Test
    void aRequestThatWasCutOffMayHaveRun() {
        start(0L, 50_001L);
        assertEquals(List.of(500L), writtenTimeouts);
        assertEquals(AttemptResult.RESET, result);
    }

    @Test
    void aCancelledRequestThatWaitsForItsWriteIsNotWritten() {
        beforeWrite = () -> attempt.cancel();
        start(0L);
        assertEquals(List.of(), writtenTimeouts);
        assertEquals(AttemptResult.CANCELLED_UNSENT, result);
        assertEquals(0, pool.idleConnections(), "the request still waits on the connection");
    }
}
