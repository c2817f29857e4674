package pewtercourse.hash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StableHashTest {
    @Test
    void theHashOfANameIsTheSameInEveryVersion() {
        assertEquals(-4_731_371_440_213_641_123L, StableHash.of("object 1"));
    }

    @Test
    void theUnitIntervalIsOpenAtBothEnds() {
        for (long hash = -1_000; hash < 1_000; hash++) {
            double unit = StableHash.toUnitInterval(hash);
            assertTrue(unit > 0 && unit < 1, hash + " gives " + unit);
        }
    }
}
