package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestPrioritiesTest {
    private static final long SECOND = 1_000_000;
    private static final long UNSEEN_OBJECT = 99_999;
    private static final long OTHER_UNSEEN_OBJECT = 99_998;

    private final RequestPriorities priorities = new RequestPriorities();

    private double rank(long now, double serviceMicros, long object, boolean revalidation) {
        return priorities.rank(now, new OverflowRequest(object, 1, serviceMicros, 0, 0, 0, false, revalidation));
    }

    @BeforeEach
    void requestFiftyObjectsForOneSecond() {
        for (int i = 0; i < 1_000; i++) {
            rank(i * 1_000, 100_000, i % 50, false);
        }
    }

    @Test
    void ranksLargeOrNewObjectsAndRevalidationsBelowSmallKnownObjects() {
        double small = rank(SECOND, 100_000, 7, false);
        double large = rank(SECOND, 2_000_000, UNSEEN_OBJECT, false);
        double unseen = rank(SECOND, 100_000, OTHER_UNSEEN_OBJECT, false);
        double revalidation = rank(SECOND, 100_000, 8, true);

        String ranks = small + " " + unseen + " " + revalidation + " " + large;
        assertTrue(small < unseen, ranks);
        assertTrue(unseen <= revalidation + 1e-9, ranks);
        assertTrue(small < large, ranks);
        assertTrue(large > 0.9, ranks);
    }
}
