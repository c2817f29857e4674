package pewtercourse.memory;

/** What the bytes are that a director holds for its clients and caches. The names of the constants are metrics. */
public enum MemoryStage {
    /** Requests of clients, from their first byte to their answer. */
    REQUESTS,
    /** Responses that are being received from caches. */
    RECEIVING,
    /** Answers that are not yet handed to the socket of their client. */
    ANSWERS
}
