package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import pewtercourse.cache.AttemptResult;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.CacheStatus;

class AttemptOutcomesTest {
    private static final Set<AttemptOutcome> NEVER_RAN = EnumSet.of(
            AttemptOutcome.OVERLOADED, AttemptOutcome.MISS, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.SUPERSEDED);
    /** After these the request may have run: an order must not be repeated. */
    private static final Set<AttemptResult> MAY_HAVE_RUN = EnumSet.of(
            AttemptResult.SERVED,
            AttemptResult.NOT_MODIFIED,
            AttemptResult.ERROR,
            AttemptResult.MALFORMED,
            AttemptResult.RESET,
            AttemptResult.TIMEOUT,
            AttemptResult.CANCELLED);

    @ParameterizedTest
    @EnumSource(AttemptResult.class)
    void reportsNeverRanOnlyForResultsThatProveIt(AttemptResult result) {
        assertEquals(!MAY_HAVE_RUN.contains(result), NEVER_RAN.contains(AttemptOutcomes.fromResult(result)));
    }

    @ParameterizedTest
    @CsvSource({
        "mem,1",
        "parent,2",
        "origin,3",
        "shared,4",
        "old,5",
        "denied,6",
        "unreached,7",
        "absent,8",
        "crowded,9",
        "behind,10",
        "other,0"
    })
    void parsesTheOutcomeHeaderToTheSimulatorsNumber(String outcomeHeader, int number) {
        assertEquals(number, AttemptOutcomes.parseCacheStatus(outcomeHeader).ordinal());
    }

    @Test
    void parsesAMissingOutcomeHeaderAsUnknown() {
        assertEquals(CacheStatus.UNKNOWN, AttemptOutcomes.parseCacheStatus(null));
        assertFalse(NEVER_RAN.contains(AttemptOutcomes.fromResult(AttemptResult.RESET)));
    }
}
