package pewtercourse.raft;

import java.util.Optional;

/** Handles the leader's messages on a follower: entries, heartbeats and snapshot chunks. */
final class LogReceiver {
    private final RaftState state;
    private final RoleTransitions transitions;
    private final IncomingSnapshot incoming = new IncomingSnapshot();
    private Snapshot pendingSnapshot; // The state machine has to load it next; null if there is none.

    /** {@code recovered}: the snapshot found on disk, which the state machine has to load first. */
    LogReceiver(RaftState state, RoleTransitions transitions, Snapshot recovered) {
        this.state = state;
        this.transitions = transitions;
        if (recovered.index() > 0 || !recovered.members().all().isEmpty()) {
            pendingSnapshot = recovered;
        }
    }

    /** Returns a snapshot that the state machine has to load, if there is one; each snapshot is returned once. */
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
            // The hint skips all entries of later terms, so that the leader does not probe each of them.
            long hint = log.lastIndexNotAfterTerm(request.prevIndex() - 1, request.prevTerm());
            replyAppend(from, false, Math.max(log.commitIndex(), hint), request.sequence());
            return;
        }
        request.entries().forEach(this::append);
        long lastRequestIndex = request.prevIndex() + request.entries().size();
        long matchIndex = Math.max(lastRequestIndex, Math.min(log.commitIndex(), log.lastIndex()));
        log.commitTo(Math.min(request.commit(), matchIndex));
        replyAppend(from, true, matchIndex, request.sequence());
    }

    private void append(Entry entry) {
        RaftLog log = state.log();
        long index = entry.index();
        if (index <= log.commitIndex() || index <= log.baseIndex()) {
            return; // A committed entry never differs from the leader's.
        }
        if (index <= log.lastIndex()) {
            if (log.term(index) == entry.term()) {
                return;
            }
            state.truncate(index);
        }
        state.append(entry);
    }

    // The reply is deferred until the log that it describes is saved.
    private void replyAppend(String leader, boolean accepted, long index, long sequence) {
        state.outbox().sendAfterSave(leader, new Message.AppendReply(state.term(), accepted, index, sequence));
    }

    void receive(long now, String from, Message.SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            replySnapshot(from, chunk, 0);
            return;
        }
        transitions.followLeader(now, from);
        if (state.log().isKnownToContain(chunk.lastIndex(), chunk.lastTerm())) {
            incoming.discard();
            state.log().commitTo(chunk.lastIndex());
            replySnapshot(from, chunk, chunk.totalBytes());
            return;
        }
        int receivedBytes = incoming.add(chunk, state.settings().snapshots().maxBytes());
        if (receivedBytes < chunk.totalBytes()) {
            replySnapshot(from, chunk, receivedBytes);
            return;
        }
        Snapshot snapshot = new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.members(), incoming.take());
        state.reset(snapshot);
        pendingSnapshot = snapshot;
        replySnapshot(from, chunk, chunk.totalBytes());
    }

    // The reply is deferred until the log that it describes is saved.
    private void replySnapshot(String leader, Message.SnapshotChunk chunk, long nextOffset) {
        state.outbox()
                .sendAfterSave(
                        leader,
                        new Message.SnapshotReply(state.term(), chunk.lastIndex(), nextOffset, chunk.sequence()));
    }
}
