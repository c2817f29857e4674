package pewtercourse.cache;

/** Every way in which an attempt at a cache can end. The director maps each to the module's outcome. */
public enum End {
    /** 200 with all of its bytes. */
    SERVED,
    /** 304: the client's copy is the one. */
    NOT_MODIFIED,
    /** 404: not held, never ran. */
    MISS,
    /** 503 with the mark that it never ran. */
    FULL,
    /** 504 with the mark that it never ran: the time was over. */
    EXPIRED,
    /** 500, or any status that proves nothing. */
    ERROR,
    /** An answer that can't be read. */
    MALFORMED,
    /** No connection: refused, or closed before its first use. Nothing was written. */
    REFUSED,
    /** No connection in time. Nothing was written. */
    CONNECT_TIMEOUT,
    /** No descriptor left for one more connection. Nothing was written. */
    NO_DESCRIPTOR,
    /** Overtaken by the feed before the first byte: the cache or the source left, or a purge came. */
    OVERTAKEN,
    /** The connection ended after the request was written: it may have run. */
    RESET,
    /** No whole answer in time: it may have run. */
    TIMEOUT,
    /** Withdrawn after it was written. */
    CANCELLED,
    /** Withdrawn before anything was written. */
    CANCELLED_UNSENT
}
