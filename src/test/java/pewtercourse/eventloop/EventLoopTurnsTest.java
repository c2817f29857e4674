package pewtercourse.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLoopTurnsTest {
    private static final long LONG = EventLoopTurns.LONG_TURN_NANOS;
    private static final long HANDLING = EventLoopTurns.SIGNAL_HANDLING_NANOS;

    private final EventLoopTurns turns = new EventLoopTurns();
    private final long start = turns.startedPoll().startedNanos();

    private void poll(long at) {
        turns.beginPoll(start + at);
        turns.endPoll();
    }

    private long earliestSignal(long now) {
        return turns.earliestSignalNanos(start + now) - start;
    }

    @Test
    void aSignalMayHaveBeenSentSinceTheLastPoll() {
        poll(10);
        assertEquals(10, earliestSignal(20));
    }

    @Test
    void aSignalMayHaveBeenSentSinceTheBeginOfAStopThatHasJustEnded() {
        poll(10);
        poll(10 + LONG);
        poll(20 + LONG);
        assertEquals(10, earliestSignal(10 + LONG + HANDLING));
        assertEquals(20 + LONG, earliestSignal(11 + LONG + HANDLING));
    }

    @Test
    void anOrdinaryTurnIsNoStop() {
        poll(10);
        poll(9 + LONG);
        assertEquals(9 + LONG, earliestSignal(10 + LONG));
    }
}
