package pewtercourse.cache;

/** How an attempt at a cache ended. The names of the constants are logged. */
public enum AttemptResult {
    /** 200 with a complete body. */
    SERVED,
    /** 304: the copy that the client holds is current. */
    NOT_MODIFIED,
    /** 404: the cache does not hold the object and did not fetch it; the request did not run. */
    MISS,
    /** 503 with the header Never-Ran: the cache was overloaded and the request did not run. */
    FULL,
    /** 504 with the header Never-Ran: the request's time had run out, and it did not run. */
    EXPIRED,
    /** 500, or any other status that does not prove that the request did not run. */
    ERROR,
    /** The response breaks the protocol; the request may have run. */
    MALFORMED,
    /** The connection was refused, or was closed before the request. Nothing was written. */
    REFUSED,
    /** The connection was not established in time. Nothing was written. */
    CONNECT_TIMEOUT,
    /** The limit of open connections was reached. Nothing was written. */
    NO_DESCRIPTOR,
    /**
     * Given up before the first byte: the cache or the fill source went, the object was purged, or the deadline
     * passed. Nothing was written.
     */
    OVERTAKEN,
    /** The connection ended after the request was written; the request may have run. */
    RESET,
    /** No complete response by the deadline; the request may have run. */
    TIMEOUT,
    /** Cancelled after the request was written; it may have run. */
    CANCELLED,
    /** Cancelled before anything was written. */
    CANCELLED_UNSENT
}
