package pewtercourse.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK,
    ERROR,
    /** The endpoint shed it. */
    OVERLOADED,
    TIMEOUT,
    CONNECT_FAILED,
    /** The connection broke, or the answer was malformed. */
    RESET,
    CANCELLED,
    /** Dropped before it was sent, as it had become pointless. */
    SUPERSEDED,
    /** The endpoint did not hold the object and was not to fetch it. */
    MISS;

    /** Whether it is certain that the request had no effect. */
    boolean neverRan() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == SUPERSEDED || this == MISS;
    }

    /** Whether it says nothing about whether the endpoint answers. */
    boolean isSilent() {
        return this == TIMEOUT || this == CANCELLED || this == SUPERSEDED;
    }
}
