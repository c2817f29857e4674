package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongPredicate;

/** Linearizable reads that wait until a majority has confirmed the leader (ReadIndex; dissertation, 6.4). */
final class ReadIndexQueue {
    private record PendingRead(long id, long index, long sequence) {}

    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private List<Ready.ReadResult> results = new ArrayList<>();

    /** How many wait. */
    int size() {
        return pending.size();
    }

    /** Confirmed once {@code index} is committed and a majority has answered a message from {@code sequence} on. */
    void add(long id, long index, long sequence) {
        pending.add(new PendingRead(id, index, sequence));
    }

    /** {@code quorumSince}: whether a majority has answered messages from a sequence number on. */
    void confirm(long commitIndex, LongPredicate quorumSince) {
        while (!pending.isEmpty()
                && pending.peek().index() <= commitIndex
                && quorumSince.test(pending.peek().sequence())) {
            PendingRead read = pending.poll();
            results.add(new Ready.ReadResult(read.id(), read.index(), true));
        }
    }

    /** This member leads no longer: nobody will confirm those that wait. */
    void fail() {
        pending.forEach(read -> results.add(new Ready.ReadResult(read.id(), read.index(), false)));
        pending.clear();
    }

    List<Ready.ReadResult> takeResults() {
        List<Ready.ReadResult> taken = results;
        results = new ArrayList<>();
        return taken;
    }
}
