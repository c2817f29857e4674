package pewtercourse.director;

import pewtercourse.cache.AttemptResult;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.CacheStatus;

/** The one place where what happened on a socket becomes an outcome of the decision module. */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /** What proves that nothing ran is FULL, MISS, CONNECT_FAILED or MOOT; all else may have run. */
    static AttemptOutcome of(AttemptResult end) {
        return switch (end) {
            case SERVED, NOT_MODIFIED -> AttemptOutcome.OK;
            case MISS -> AttemptOutcome.MISS;
            case FULL -> AttemptOutcome.OVERLOADED;
            case ERROR -> AttemptOutcome.ERROR;
            case REFUSED, CONNECT_TIMEOUT -> AttemptOutcome.CONNECT_FAILED;
            case EXPIRED, NO_DESCRIPTOR, OVERTAKEN, CANCELLED_UNSENT -> AttemptOutcome.SUPERSEDED;
            case RESET, MALFORMED -> AttemptOutcome.RESET;
            case TIMEOUT -> AttemptOutcome.TIMEOUT;
            case CANCELLED -> AttemptOutcome.CANCELLED;
        };
    }

    /** By name, as the simulator numbers them: the order of the words on the socket says nothing. */
    static CacheStatus note(String word) {
        return switch (word == null ? "" : word) {
            case "mem" -> CacheStatus.HIT;
            case "parent" -> CacheStatus.FILLED;
            case "origin" -> CacheStatus.FILLED_FROM_ORIGIN;
            case "shared" -> CacheStatus.COALESCED;
            case "old" -> CacheStatus.STALE;
            case "denied" -> CacheStatus.SOURCE_REJECTED;
            case "unreached" -> CacheStatus.SOURCE_FAILED;
            case "absent" -> CacheStatus.SOURCE_MISS;
            case "crowded" -> CacheStatus.FILL_LIMIT_REACHED;
            case "behind" -> CacheStatus.ORIGIN_FAILED;
            default -> CacheStatus.UNKNOWN;
        };
    }
}
