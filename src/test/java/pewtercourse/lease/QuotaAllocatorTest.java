package pewtercourse.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class QuotaAllocatorTest {
    @Test
    void grantsRequestsBelowAnEqualShareInFull() {
        assertEquals(
                Map.of("d1", 100L, "d2", 450L, "d3", 450L),
                QuotaAllocator.divide(Map.of("d1", 100L, "d2", 900L, "d3", 700L), Map.of(), 1_000));
    }

    @Test
    void countsExistingGrantsAgainstAMembersShare() {
        assertEquals(
                Map.of("d1", 100L, "d2", 500L),
                QuotaAllocator.divide(Map.of("d1", 900L, "d2", 900L), Map.of("d1", 400L), 1_000));
    }

    @Test
    void grantsNothingWhenThePoolIsUsedUp() {
        assertEquals(Map.of(), QuotaAllocator.divide(Map.of("d1", 900L), Map.of("d2", 1_000L), 1_000));
    }
}
