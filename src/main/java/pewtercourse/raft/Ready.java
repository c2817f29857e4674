package pewtercourse.raft;

import java.util.List;

/**
 * The actions that the caller of {@link Raft#take} has to carry out, in the order of the components, like etcd's Ready.
 *
 * @param save the write to start; null if there is none
 * @param messages the messages to send at once; none of them depends on the save
 * @param snapshot the snapshot that replaces the state of the state machine; null if there is none
 * @param committed the committed entries to apply
 * @param reads the results of calls of {@link Raft#read}
 */
public record Ready(
        Save save, List<OutgoingMessage> messages, Snapshot snapshot, List<Entry> committed, List<ReadResult> reads) {
    /** A message and the name of the member to send it to. */
    public record OutgoingMessage(String to, Message message) {}

    /**
     * The result of a read.
     *
     * @param id the id that {@link Raft#read} was called with
     * @param index the index of the entry that has to be applied before the state machine may serve the read
     * @param confirmed false if this member lost leadership before a majority confirmed the read
     */
    public record ReadResult(long id, long index, boolean confirmed) {}
}
