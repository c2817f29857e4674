package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.Example;

class BackoffTest {
    private static long[] delays(Backoff backoff, int count) {
        return LongStream.generate(backoff::nextDelayMs).limit(count).toArray();
    }

    @Example
    void delaysGrowToTheMaximum() {
        long[] delays = delays(new Backoff(new Random(7)), 1_000);

        assertTrue(LongStream.of(delays).allMatch(delay -> delay >= 50 && delay <= 500));
        assertEquals(500, LongStream.of(delays).max().orElseThrow());
    }

    @Example
    void resetReturnsToShortDelays() {
        Backoff backoff = new Backoff(new Random(7));

        for (int i = 0; i < 100; i++) {
            delays(backoff, 20);
            backoff.reset();
            long first = backoff.nextDelayMs();
            assertTrue(first <= 150, "the first delay is " + first);
        }
    }

    /** Fixes the number, the order and the bounds of the random draws for one seed. */
    @Example
    void drawsTheRecordedDelaysForASeed() {
        long[] delays = delays(new Backoff(new Random(11)), 12);

        assertArrayEquals(new long[] {77, 183, 225, 295, 205, 328, 500, 500, 500, 500, 103, 274}, delays);
    }
}
