package pewtercourse.raft;

import java.util.Optional;

/** What a follower does with what its leader sends: entries and heartbeats, and snapshots in parts. */
final class LogReceiver {
    private final RaftState state;
    private final RoleTransitions transitions;
    private final IncomingSnapshot incoming = new IncomingSnapshot();
    private Snapshot pendingSnapshot; // To replace the state machine's state; null: none is.

    /** {@code recovered}: with which the state machine begins. */
    LogReceiver(RaftState state, RoleTransitions transitions, Snapshot recovered) {
        this.state = state;
        this.transitions = transitions;
        if (recovered.index() > 0 || !recovered.members().all().isEmpty()) {
            pendingSnapshot = recovered;
        }
    }

    /** The snapshot with which the state machine has to go on, once. */
    Optional<Snapshot> takePendingSnapshot() {
        Optional<Snapshot> taken = Optional.ofNullable(pendingSnapshot);
        pendingSnapshot = null;
        return taken;
    }

    void receive(long now, String from, Message.AppendRequest request) {
        if (request.term() < state.term()) {
            replyAppend(from, false, 0, request.sequence());
            return;
        }
        transitions.followLeader(now, from);
        RaftLog log = state.log();
        if (request.prevIndex() >= log.baseIndex() && log.term(request.prevIndex()) != request.prevTerm()) {
            // The next attempt goes back by a whole term at once.
            long candidate = log.lastIndexNotAfterTerm(request.prevIndex() - 1, request.prevTerm());
            replyAppend(from, false, Math.max(log.commitIndex(), candidate), request.sequence());
            return;
        }
        request.entries().forEach(this::append);
        long lastOfRequest = request.prevIndex() + request.entries().size();
        long match = Math.max(lastOfRequest, Math.min(log.commitIndex(), log.lastIndex()));
        log.commitTo(Math.min(request.commit(), match));
        replyAppend(from, true, match, request.sequence());
    }

    private void append(Entry entry) {
        RaftLog log = state.log();
        long index = entry.index();
        if (index <= log.commitIndex() || index <= log.baseIndex()) {
            return; // Committed before, so it is the same.
        }
        if (index <= log.lastIndex()) {
            if (log.term(index) == entry.term()) {
                return;
            }
            state.truncate(index);
        }
        state.append(entry);
    }

    // Held back until what it tells of is saved.
    private void replyAppend(String to, boolean accepted, long index, long sequence) {
        state.outbox().sendAfterSave(to, new Message.AppendReply(state.term(), accepted, index, sequence));
    }

    void receive(long now, String from, Message.SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            replySnapshot(from, chunk, 0);
            return;
        }
        transitions.followLeader(now, from);
        if (state.log().has(chunk.lastIndex(), chunk.lastTerm())) {
            incoming.discard();
            state.log().commitTo(chunk.lastIndex());
            replySnapshot(from, chunk, chunk.total());
            return;
        }
        int received = incoming.add(chunk, state.settings().snapshots().maxBytes());
        if (received < chunk.total()) {
            replySnapshot(from, chunk, received);
            return;
        }
        Snapshot snapshot = new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.members(), incoming.take());
        state.reset(snapshot);
        pendingSnapshot = snapshot;
        replySnapshot(from, chunk, chunk.total());
    }

    // Held back until what it tells of is saved.
    private void replySnapshot(String to, Message.SnapshotChunk chunk, long nextOffset) {
        state.outbox()
                .sendAfterSave(
                        to, new Message.SnapshotReply(state.term(), chunk.lastIndex(), nextOffset, chunk.sequence()));
    }
}
