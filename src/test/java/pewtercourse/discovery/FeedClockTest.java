package pewtercourse.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FeedClockTest {
    private static final long SECONDS = 1_000_000;
    private static final long MONOTONIC_START = 50 * SECONDS;
    private static final long UNIX_START_MS = 1_764_576_000_000L;

    private final FeedClock clock = new FeedClock();

    private static long unixMs(long monotonic) {
        return UNIX_START_MS + (monotonic - MONOTONIC_START) / 1_000;
    }

    private void start(long lastEventAt) {
        clock.start(MONOTONIC_START, unixMs(lastEventAt), unixMs(MONOTONIC_START));
    }

    @Test
    void agesOfInitialEventsCountFromTheLatestOfThem() {
        start(MONOTONIC_START - SECONDS);
        assertEquals(4 * SECONDS, clock.ageInInitialEvent(MONOTONIC_START, unixMs(MONOTONIC_START - 5 * SECONDS)));
    }

    @Test
    void aWallClockThatIsBehindTheFeedMakesInitialEventsYounger() {
        clock.start(MONOTONIC_START, unixMs(MONOTONIC_START), unixMs(MONOTONIC_START) - 3_600_000);
        assertEquals(0, clock.ageInInitialEvent(MONOTONIC_START, unixMs(MONOTONIC_START - 60 * SECONDS)));
    }

    @Test
    void aStartInTheFutureCountsFromWhenItIsListed() {
        start(MONOTONIC_START);
        assertEquals(0, clock.ageOfStart(MONOTONIC_START, unixMs(MONOTONIC_START) + 3_600_000));
    }

    @Test
    void everythingIsNewUntilTheFeedHasStatedATime() {
        clock.start(MONOTONIC_START, 0, unixMs(MONOTONIC_START));
        assertEquals(0, clock.ageOfStart(MONOTONIC_START + SECONDS, unixMs(MONOTONIC_START)));
    }

    /** Purges in order of their arrival, each 30 to 400 ms after it was ordered. */
    private static List<long[]> purges(Random random, long from, long until) {
        List<long[]> purges = new ArrayList<>();
        for (long at = from; at < until; at += 200_000 + random.nextInt(1_500_000)) {
            purges.add(new long[] {at, at + 30_000 + random.nextInt(370_000)});
        }
        purges.sort(Comparator.comparingLong(purge -> purge[1]));
        return purges;
    }

    @Property(tries = 200, seed = "20")
    void agesAreTooSmallByLessThanTheDelayOfAnEventWithoutASteppedClock(@ForAll @IntRange(max = 1_000_000) int seed) {
        start(MONOTONIC_START - SECONDS);
        for (long[] purge : purges(new Random(seed), MONOTONIC_START, MONOTONIC_START + 60 * SECONDS)) {
            long age = clock.ageOfPurge(purge[1], unixMs(purge[0]));
            long realAge = purge[1] - purge[0];
            assertTrue(age <= realAge && age >= realAge - 400_000 - 1_000, "age " + age + " of " + realAge);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600, -3_600, 5, -5})
    void noAgeIsTooLargeAfterTheFeedsClockIsStepped(long stepSeconds) {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            FeedClock stepped = new FeedClock();
            stepped.start(MONOTONIC_START, unixMs(MONOTONIC_START), unixMs(MONOTONIC_START));
            long stepAt = MONOTONIC_START + 20 * SECONDS + random.nextInt(1_000_000);
            for (long[] purge : purges(random, MONOTONIC_START, MONOTONIC_START + 60 * SECONDS)) {
                long stamp = unixMs(purge[0]) + (purge[0] >= stepAt ? stepSeconds * 1_000 : 0);
                long age = stepped.ageOfPurge(purge[1], stamp);
                assertTrue(age <= purge[1] - purge[0] + 1_000, "seed " + seed + ": age " + age);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600, -3_600, 5, -5})
    void agesFitAgainAfterSomePurgesOnceTheFeedsClockWasStepped(long stepSeconds) {
        start(MONOTONIC_START);
        Random random = new Random(7);
        for (long[] purge : purges(random, MONOTONIC_START, MONOTONIC_START + 60 * SECONDS)) {
            clock.ageOfPurge(
                    purge[1],
                    unixMs(purge[0]) + (purge[0] >= MONOTONIC_START + 20 * SECONDS ? stepSeconds * 1_000 : 0));
        }
        long now = MONOTONIC_START + 61 * SECONDS;
        long age = clock.ageOfStart(now, unixMs(now - SECONDS) + stepSeconds * 1_000);
        assertTrue(age >= 600_000 && age <= SECONDS + 1_000, "age " + age);
    }
}
