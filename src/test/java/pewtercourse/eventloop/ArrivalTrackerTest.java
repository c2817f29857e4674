package pewtercourse.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ArrivalTrackerTest {
    private static final long CREATED = 1_000;

    private final EventLoopTurns turns = new EventLoopTurns();
    private long now = CREATED;
    private final ArrivalTracker arrivals = new ArrivalTracker(turns, () -> now, CREATED);

    private long poll() {
        long startedNanos = System.nanoTime();
        turns.beginPoll(startedNanos);
        return startedNanos;
    }

    @Test
    void bytesReadInTheFirstPollMayHaveWaitedSinceTheSocketWasCreated() {
        poll();
        arrivals.beginReads();
        assertEquals(CREATED, arrivals.emptyAtNanos());
    }

    @Test
    void aCompletePollThatDoesNotReportTheSocketShowsThatItWasEmpty() {
        poll();
        turns.endPoll();
        long startedNanos = poll();
        turns.endPoll();
        poll();
        arrivals.beginReads();
        assertEquals(startedNanos, arrivals.emptyAtNanos());
    }

    @Test
    void theRunningPollDoesNotShowThatTheSocketIsEmpty() {
        long firstNanos = poll();
        turns.endPoll();
        poll();
        arrivals.beginReads();
        assertTrue(arrivals.emptyAtNanos() <= firstNanos);
        arrivals.beginReads();
        assertTrue(arrivals.emptyAtNanos() <= firstNanos);
    }

    @Test
    void bytesThatOneReadLeavesInTheSocketKeepTheirArrivalInTheNextPoll() {
        for (int i = 0; i < 5; i++) {
            poll();
            arrivals.beginReads();
            turns.endPoll();
        }
        assertEquals(CREATED, arrivals.emptyAtNanos());
    }

    @Test
    void aReadThatFindsNothingShowsThatTheSocketIsEmpty() {
        long startedNanos = poll();
        arrivals.beginReads();
        arrivals.recordEmptyAt(startedNanos + 5);
        turns.endPoll();
        poll();
        arrivals.beginReads();
        assertEquals(startedNanos + 5, arrivals.emptyAtNanos());
    }

    @Test
    void pollsWhileReadingIsPausedShowNothing() {
        arrivals.pause();
        for (int i = 0; i < 5; i++) {
            poll();
            turns.endPoll();
        }
        arrivals.resume();
        poll();
        arrivals.beginReads();
        assertEquals(CREATED, arrivals.emptyAtNanos());
    }

    @Test
    void aPollAfterReadingIsResumedShowsThatTheSocketIsEmpty() {
        arrivals.pause();
        poll();
        turns.endPoll();
        arrivals.resume();
        long startedNanos = poll();
        turns.endPoll();
        poll();
        arrivals.beginReads();
        assertEquals(startedNanos, arrivals.emptyAtNanos());
    }

    @Test
    void actionsAfterTheNextPollDoNotRunBeforeAPollThatBeginsLater() {
        int[] runs = new int[1];
        poll();
        turns.afterNextPoll(() -> runs[0]++);
        turns.endPoll();
        assertEquals(0, runs[0], "ran after a poll that had begun before");
        poll();
        assertTrue(turns.hasActionsAfterPoll());
        turns.endPoll();
        assertEquals(1, runs[0]);
    }
}
