package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongPredicate;

/** The linearizable reads that wait until a majority has confirmed the leader (ReadIndex; dissertation, 6.4). */
final class ReadIndexQueue {
    private record PendingRead(long id, long index, long sequence) {}

    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private List<Ready.ReadResult> results = new ArrayList<>();

    /** The number of reads that wait. */
    int size() {
        return pending.size();
    }

    /**
     * Adds a read. It is confirmed once the entry {@code index} is committed and a majority has replied to a message
     * with a sequence number of at least {@code sequence}.
     */
    void add(long id, long index, long sequence) {
        pending.add(new PendingRead(id, index, sequence));
    }

    /**
     * Confirms the reads whose conditions are met.
     *
     * @param isSequenceConfirmed whether a majority has replied to a message with this sequence number or a higher one
     */
    void confirm(long commitIndex, LongPredicate isSequenceConfirmed) {
        while (!pending.isEmpty()
                && pending.peek().index() <= commitIndex
                && isSequenceConfirmed.test(pending.peek().sequence())) {
            PendingRead read = pending.poll();
            results.add(new Ready.ReadResult(read.id(), read.index(), true));
        }
    }

    /** Fails all waiting reads, because this member has lost leadership. */
    void failAll() {
        pending.forEach(read -> results.add(new Ready.ReadResult(read.id(), read.index(), false)));
        pending.clear();
    }

    List<Ready.ReadResult> takeResults() {
        List<Ready.ReadResult> taken = results;
        results = new ArrayList<>();
        return taken;
    }
}
