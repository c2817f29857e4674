package pewtercourse.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK,
    ERROR,
    /** The endpoint rejected the attempt because it was overloaded. */
    OVERLOADED,
    TIMEOUT,
    CONNECT_FAILED,
    /** The connection broke, or the answer was malformed. */
    RESET,
    CANCELLED,
    /** Dropped before it was sent because it was no longer needed. */
    SUPERSEDED,
    /** The endpoint did not hold the object and was not allowed to fetch it. */
    MISS;

    /** Whether the attempt certainly had no effect. */
    boolean neverRan() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == SUPERSEDED || this == MISS;
    }

    /** Whether the outcome does not show whether the endpoint responds. */
    boolean isInconclusive() {
        return this == TIMEOUT || this == CANCELLED || this == SUPERSEDED;
    }
}
