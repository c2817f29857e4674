package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class DrainTableTest {
    private final DrainTable drains = new DrainTable();

    private CommandOutcome drain(long entry, String target, long expectedEntry) {
        return drains.applyInOrder(entry, target, expectedEntry, () -> drains.drain(target, entry));
    }

    @Test
    void aReinstatedCacheIsNoLongerDrained() {
        drains.drain("c1", 10);

        drains.reinstate("c1", 20);

        assertEquals(Map.of(), drains.drained());
        assertEquals(Map.of("c1", 20L), drains.reinstated());
        assertEquals(2, drains.revision());
    }

    @Test
    void keepsTheFirstDrainTimeWhenACacheIsDrainedAgain() {
        drains.drain("c1", 10);

        assertTrue(drains.drain("c1", 20).isApplied());

        assertEquals(Map.of("c1", 10L), drains.drained());
        assertEquals(1, drains.revision());
    }

    @Test
    void rejectsACommandAsSupersededIfItsProposerDidNotKnowTheLastCommand() {
        assertTrue(drain(5, "c1", 0).isApplied());

        CommandOutcome outcome = drains.applyInOrder(7, "c1", 0, () -> drains.reinstate("c1", 7));

        assertTrue(outcome.isSuperseded());
        assertTrue(drains.drained().containsKey("c1"));
        assertEquals(5, drains.lastCommand("c1"));
    }

    @Test
    void acceptsCommandsOnDifferentCachesIndependently() {
        assertTrue(drain(5, "c1", 0).isApplied());
        assertTrue(drain(6, "c2", 0).isApplied());
    }

    @Test
    void doesNotRecordARejectedCommandAsTheLastCommand() {
        for (int i = 0; i < 1_024; i++) {
            drains.drain("c" + i, i);
        }

        CommandOutcome outcome = drain(9, "one more", 0);

        assertFalse(outcome.isApplied());
        assertFalse(outcome.isSuperseded());
        assertEquals(
                "1024 caches are drained, which is the maximum",
                outcome.rejectionText().orElseThrow());
        assertEquals(0, drains.lastCommand("one more"));
    }
}
