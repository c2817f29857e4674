package pewtercourse.decision;

/** Why a router rejected or failed a request. The lower-case names of the constants are names of metrics. */
public enum GiveUpReason {
    /** Too little time was left for another attempt. */
    DEADLINE,
    /** The maximum number of attempts was reached. */
    ATTEMPTS,
    /** Only endpoints in slow start were left, and their budgets had no room. */
    SLOW_START,
    /** No endpoint could be used: none is listed, or all are ejected, at their limits or excluded for this request. */
    NO_ENDPOINT,
    /** The retry budget had no retry left. */
    RETRY_BUDGET,
    /** Several caches answered the request with an error. */
    UNUSABLE_REQUEST,
    /** No cache was reached in half of the client's time. */
    UNREACHED,
    /** The object needs a fill, and the limit on fills had no room. */
    FILL_LIMIT
}
