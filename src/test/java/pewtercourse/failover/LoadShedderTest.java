package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LoadShedderTest {
    private static final long SECOND = 1_000_000;

    /** Holds for any order and size of requests and for a clock that steps back. */
    @Property(tries = 300)
    void admitsNoMoreThanTheLimitOverTimePlusOneBucket(@ForAll long seed) {
        Random random = new Random(seed);
        double limit = 0.5 + 10 * random.nextDouble();
        LoadShedder shedder = new LoadShedder(0);
        shedder.setLimit(limit);
        double admittedMicros = 0;
        double largestMicros = 0;
        long now = 0;
        long latestNow = 0;

        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(20) == 0 ? -random.nextInt(100_000) : random.nextInt(100_000);
            latestNow = Math.max(latestNow, now);
            double serviceMicros = 1_000 + random.nextInt(random.nextInt(50) == 0 ? 3_000_000 : 200_000);
            if (shedder.admit(now, random.nextDouble(), serviceMicros, false)) {
                admittedMicros += serviceMicros;
                largestMicros = Math.max(largestMicros, serviceMicros);
            }
        }

        double maxMicros = limit * (latestNow + SECOND) + largestMicros + 1;
        assertTrue(admittedMicros <= maxMicros, "admitted " + admittedMicros + " of at most " + maxMicros);
    }
}
