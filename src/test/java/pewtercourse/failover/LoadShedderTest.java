package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LoadShedderTest {
    private static final long SECOND = 1_000_000;

    /** Whatever the order, the sizes and the clock. */
    @Property(tries = 300)
    void overAnyTimeNoMoreThanTheLimitAndOneBucketIsAdmitted(@ForAll long seed) {
        Random random = new Random(seed);
        double limit = 0.5 + 10 * random.nextDouble();
        LoadShedder shedder = new LoadShedder(0);
        shedder.setLimit(limit);
        double admitted = 0;
        double largest = 0;
        long now = 0;
        long latest = 0;

        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(20) == 0 ? -random.nextInt(100_000) : random.nextInt(100_000);
            latest = Math.max(latest, now);
            double service = 1_000 + random.nextInt(random.nextInt(50) == 0 ? 3_000_000 : 200_000);
            if (shedder.admit(now, random.nextDouble(), service, false)) {
                admitted += service;
                largest = Math.max(largest, service);
            }
        }

        double bound = limit * (latest + SECOND) + largest + 1;
        assertTrue(admitted <= bound, admitted + " of " + bound);
    }
}
