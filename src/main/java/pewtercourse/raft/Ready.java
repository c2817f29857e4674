package pewtercourse.raft;

import java.util.List;

/**
 * What is to be done now, in this order (etcd's term).
 *
 * @param save the write to start; null: none
 * @param messages to send at once: none of them waits for the save
 * @param snapshot replaces the state machine's state; null: none
 * @param committed entries to apply
 * @param reads answers to {@link Raft#read}
 */
public record Ready(
        Save save, List<OutgoingMessage> messages, Snapshot snapshot, List<Entry> committed, List<ReadResult> reads) {
    /** A message and the member that it is for. */
    public record OutgoingMessage(String to, Message message) {}

    /**
     * The answer to a read.
     *
     * @param id as the read was called with
     * @param index the entry that has to be applied before the state answers the read
     * @param confirmed false if this member led no longer, so that the read has no answer
     */
    public record ReadResult(long id, long index, boolean confirmed) {}
}
