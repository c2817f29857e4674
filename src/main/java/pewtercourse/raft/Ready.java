package pewtercourse.raft;

import java.util.List;

/**
 * What is to be done now, in this order: {@code save} is begun (null: nothing), {@code send} goes out without waiting
 * for it, {@code install} replaces the state machine (null: nothing), {@code committed} is applied, {@code reads} are
 * confirmed.
 */
public record Ready(Save save, List<Addressed> send, Snapshot install, List<Entry> committed, List<Read> reads) {
    /** A message and the member that it is for. */
    public record Addressed(String to, Message message) {}

    /** A read that a majority has confirmed: it may be answered from the state once {@code index} is applied. */
    public record Read(long id, long index, boolean confirmed) {}
}
