package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OverloadGuardTest {
    private static final long PATIENCE = 600_000;
    private static final long LONG_WAIT = 200_000; // Over a quarter.

    private final OverloadGuard guard = new OverloadGuard();
    private long now = 1_000_000;

    private boolean readAfter(long micros, long waited) {
        now += micros;
        return guard.admits(now, now - waited, PATIENCE);
    }

    @Test
    void rejectsARequestWhoseClientHasLeft() {
        assertTrue(readAfter(0, 1_000));
        assertFalse(readAfter(0, PATIENCE));
        assertEquals(1, guard.rejections());
    }

    @Test
    void admitsTheBacklogOfASingleStall() {
        assertTrue(readAfter(0, 1_000));
        for (int i = 0; i < 50; i++) {
            assertTrue(readAfter(1_000, 450_000 - i * 5_000), "request " + i);
        }
    }

    @Test
    void rejectsLateRequestsWhileAllWaitLong() {
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += readAfter(1_000, LONG_WAIT) ? 1 : 0;
        }
        assertTrue(admitted <= 2 * OverloadGuard.INTERVAL_MICROS / 1_000, admitted + " admitted in a standing backlog");
        assertTrue(readAfter(1_000, PATIENCE / 4), "has waited for no more than a quarter of its time");
    }

    @Test
    void admitsLateRequestsOnceOthersAreReadInTime() {
        for (int i = 0; i < 500; i++) {
            readAfter(1_000, LONG_WAIT);
        }
        assertFalse(readAfter(1_000, LONG_WAIT));
        assertTrue(readAfter(1_000, 1_000));
        assertTrue(readAfter(1_000, LONG_WAIT));
    }

    @Test
    void forgetsABacklogAfterAQuietTime() {
        for (int i = 0; i < 500; i++) {
            readAfter(1_000, LONG_WAIT);
        }
        assertTrue(readAfter(1_000_000, LONG_WAIT));
    }

    @Test
    void admitsShortDeadlinesAfterAnOrdinaryWait() {
        for (int i = 0; i < 500; i++) {
            now += 1_000;
            assertTrue(guard.admits(now, now - 20_000, 60_000));
        }
    }
}
