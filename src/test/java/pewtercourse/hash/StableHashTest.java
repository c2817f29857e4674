package pewtercourse.hash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StableHashTest {
    @Test
    void hashOfANameMatchesTheRecordedValue() {
        assertEquals(-4_731_371_440_213_641_123L, StableHash.of("object 1"));
    }

    @Test
    void toUnitIntervalExcludesZeroAndOne() {
        for (long hash = -1_000; hash < 1_000; hash++) {
            double mapped = StableHash.toUnitInterval(hash);
            assertTrue(mapped > 0 && mapped < 1, hash + " is mapped to " + mapped);
        }
    }
}
