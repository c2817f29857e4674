package pewtercourse.director;

import pewtercourse.cache.AttemptResult;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.CacheStatus;

/** Converts what a cache did and stated into the terms of the routing engine. */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /**
     * Converts the result of an attempt. OVERLOADED, MISS, CONNECT_FAILED and SUPERSEDED state that the request
     * did not run; after any other outcome it may have run.
     */
    static AttemptOutcome fromResult(AttemptResult result) {
        return switch (result) {
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

    /** Whether a cache may have run the request. */
    static boolean mayHaveRun(AttemptResult result) {
        return switch (result) {
            case SERVED, NOT_MODIFIED, ERROR, MALFORMED, RESET, TIMEOUT, CANCELLED -> true;
            case MISS, FULL, EXPIRED, REFUSED, CONNECT_TIMEOUT, NO_DESCRIPTOR, OVERTAKEN, CANCELLED_UNSENT -> false;
        };
    }

    /** Whether the cache has sent the whole object. */
    static boolean transfersBody(AttemptResult result) {
        return result == AttemptResult.SERVED;
    }

    /**
     * Converts the value of the header Outcome, or null. Its words are matched by name, as they have no
     * numbers; the constants have those of the simulator.
     *
     * @return UNKNOWN for a value that is not known
     */
    static CacheStatus parseCacheStatus(String outcomeHeader) {
        return switch (outcomeHeader == null ? "" : outcomeHeader) {
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
