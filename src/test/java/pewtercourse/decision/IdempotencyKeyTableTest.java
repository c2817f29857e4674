package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdempotencyKeyTableTest {
    private final IdempotencyKeyTable table = new IdempotencyKeyTable();

    private static PossibleRun run(long requestId, long sentAt) {
        return new PossibleRun(requestId, 0, 1, 0, sentAt);
    }

    @Test
    void remembersTheFirstAttemptOfAKeyUntilNoFurtherTryCanCome() {
        table.onAttemptSent("key", run(1, 100), 200, 100);
        table.onAttemptSent("key", run(2, 150), 250, 150);
        assertEquals(run(1, 100), table.firstRun("key", 199));
        assertNull(table.firstRun("key", 200));
        assertNull(table.firstRun("other", 150));
    }

    // Guards against an operation that can't be retried although nothing of it ran.
    @Test
    void forgetsAnAttemptThatDidNotRun() {
        table.onAttemptSent("key", run(1, 100), 200, 100);
        table.onAttemptNeverRan("key", run(1, 100));
        assertNull(table.firstRun("key", 110));
    }

    // Guards against a window that is counted anew while another attempt with the key may still run.
    @Test
    void keepsTheFirstAttemptWhileALaterOneMayRun() {
        table.onAttemptSent("key", run(1, 100), 200, 100);
        table.onAttemptSent("key", run(2, 120), 220, 120);
        table.onAttemptNeverRan("key", run(1, 100));
        assertEquals(run(1, 100), table.firstRun("key", 130));
        table.onAttemptNeverRan("key", run(2, 120));
        table.onAttemptNeverRan("key", run(1, 100));
        assertNull(table.firstRun("key", 130));
    }

    @Test
    void staysBoundedAndDropsExpiredKeysFirst() {
        for (int i = 0; i < 20_000; i++) {
            table.onAttemptSent("key" + i, run(i, i), i + 1_000_000, i);
        }
        assertTrue(table.size() <= 4_096, "keys: " + table.size());
        assertEquals(run(19_999, 19_999), table.firstRun("key19999", 20_000));
        table.onAttemptSent("last", run(1, 2_000_000), 3_000_000, 2_000_000);
        assertEquals(1, table.size());
    }
}
