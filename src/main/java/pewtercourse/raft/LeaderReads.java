package pewtercourse.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongPredicate;

/** Reads that wait until a majority has confirmed the leader (dissertation, 6.4). */
final class LeaderReads {
    private record PendingRead(long id, long index, long seq) {}

    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private List<Ready.Read> done = new ArrayList<>();

    int size() {
        return pending.size();
    }

    /** Confirmed once {@code index} is agreed and a majority has answered a message that was sent from {@code seq} on. */
    void add(long id, long index, long seq) {
        pending.add(new PendingRead(id, index, seq));
    }

    /** {@code majority}: whether one has answered messages from a number on. */
    void confirm(long commit, LongPredicate majority) {
        while (!pending.isEmpty()
                && pending.peek().index() <= commit
                && majority.test(pending.peek().seq())) {
            PendingRead read = pending.poll();
            done.add(new Ready.Read(read.id(), read.index(), true));
        }
    }

    /** This member leads no longer. */
    void fail() {
        pending.forEach(read -> done.add(new Ready.Read(read.id(), read.index(), false)));
        pending.clear();
    }

    List<Ready.Read> take() {
        List<Ready.Read> taken = done;
        done = new ArrayList<>();
        return taken;
    }
}
