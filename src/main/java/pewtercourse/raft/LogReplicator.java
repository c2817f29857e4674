package pewtercourse.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Sends the leader's log to the other members. A member whose next entry was compacted away receives the snapshot in
 * chunks instead of entries.
 */
final class LogReplicator {
    private static final int LOST_AFTER_HEARTBEATS = 2; // A message that is unanswered for longer is lost.

    private final RaftState state;
    private final ProgressTracker tracker;
    private long sequence;

    LogReplicator(RaftState state, ProgressTracker tracker) {
        this.state = state;
        this.tracker = tracker;
    }

    /** The sequence number of the next message. A reply to it or to a later one shows that its sender still follows. */
    long nextSequence() {
        return sequence + 1;
    }

    // ---- Requests ----

    /** Sends each member the entries that it lacks, as far as its limit of messages in flight allows. */
    void sendEntries(long now) {
        tracker.forEach((name, progress) -> sendEntries(now, name, progress));
    }

    void sendEntries(long now, String name, Progress progress) {
        send(now, name, progress, false);
    }

    /** Sends a message to each member, also to those that lack no entries. */
    void sendToAll(long now) {
        tracker.forEach((name, progress) -> send(now, name, progress, true));
    }

    /** Sends the commit index to each member that is not receiving a snapshot. */
    void sendCommitIndex(long now) {
        tracker.forEach((name, progress) -> send(now, name, progress, !progress.isReceivingSnapshot()));
    }

    /** Sends a message to each member. Where a message counts as lost, starts again after the match index. */
    void sendHeartbeats(long now) {
        long timeoutMicros = LOST_AFTER_HEARTBEATS * state.settings().heartbeatMicros();
        tracker.forEach((name, progress) -> {
            if (progress.isReplyOverdue(now, timeoutMicros)) {
                progress.probeFrom(progress.matchIndex() + 1);
            }
            send(now, name, progress, true);
        });
    }

    // sendIfEmpty: whether to send a message even if it has no entries, as a heartbeat.
    private void send(long now, String name, Progress progress, boolean sendIfEmpty) {
        RaftLog log = state.log();
        long prevIndex = progress.nextIndex() - 1;
        long prevTerm = prevIndex < log.baseIndex() ? RaftLog.UNKNOWN_TERM : log.term(prevIndex);
        if (prevTerm == RaftLog.UNKNOWN_TERM) {
            sendSnapshotChunk(now, name, progress, sendIfEmpty);
            return;
        }
        List<Entry> entries = nextEntries(progress);
        if (entries.isEmpty() && !sendIfEmpty) {
            return;
        }
        state.outbox()
                .send(
                        name,
                        new Message.AppendRequest(
                                state.term(), prevIndex, prevTerm, entries, log.commitIndex(), ++sequence));
        if (!entries.isEmpty() && progress.onEntriesSent(now, entries.size())) {
            send(now, name, progress, false);
        }
    }

    private List<Entry> nextEntries(Progress progress) {
        RaftSettings.Replication limits = state.settings().replication();
        if (!progress.canSend(limits.maxInFlight())) {
            return List.of();
        }
        RaftLog log = state.log();
        return log.slice(progress.nextIndex(), log.lastIndex(), limits.maxBatchEntries(), limits.maxBatchBytes());
    }

    // sendAgain: whether to send the current chunk even if it was sent already.
    private void sendSnapshotChunk(long now, String name, Progress progress, boolean sendAgain) {
        Snapshot snapshot = state.log().snapshot();
        if (!progress.isReceivingSnapshot(snapshot.index())) {
            progress.startSnapshot(snapshot.index());
        } else if (!sendAgain) {
            return;
        }
        int startOffset = (int) progress.snapshotOffset();
        int endOffset = Math.min(
                snapshot.state().length,
                startOffset + state.settings().snapshots().chunkBytes());
        progress.onSnapshotChunkSent(now);
        state.outbox()
                .send(
                        name,
                        new Message.SnapshotChunk(
                                state.term(),
                                snapshot.index(),
                                snapshot.term(),
                                snapshot.members(),
                                startOffset,
                                Arrays.copyOfRange(snapshot.state(), startOffset, endOffset),
                                snapshot.state().length,
                                ++sequence));
    }

    // ---- Replies ----

    void receive(long now, String from, Message.AppendReply reply) {
        Progress progress = tracker.get(from);
        progress.onReply(now, reply.sequence());
        if (reply.accepted()) {
            progress.onAccepted(reply.index(), sequence);
        } else {
            progress.onRejected(reply.index(), reply.sequence());
        }
        sendEntries(now, from, progress);
    }

    void receive(long now, String from, Message.SnapshotReply reply) {
        Progress progress = tracker.get(from);
        progress.onReply(now, reply.sequence());
        if (!progress.isReceivingSnapshot(reply.lastIndex())) {
            return;
        }
        Snapshot snapshot = state.log().snapshot();
        if (reply.nextOffset() >= snapshot.state().length && snapshot.index() == reply.lastIndex()) {
            progress.onSnapshotInstalled(reply.lastIndex(), sequence);
            sendEntries(now, from, progress);
        } else if (reply.nextOffset() != progress.snapshotOffset()) {
            progress.continueSnapshotFrom(Math.min(reply.nextOffset(), snapshot.state().length));
            sendSnapshotChunk(now, from, progress, true);
        }
    }
}
