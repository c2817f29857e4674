package pewtercourse.raft;

import java.util.Arrays;
import java.util.List;

/** Sends the leader's log to the other members: entries, or the snapshot in parts to those whose next entry is gone. */
final class LogReplicator {
    private static final int OVERDUE_HEARTBEATS = 2; // A message that is not answered for so long counts as lost.

    private final RaftState state;
    private final ProgressTracker tracker;
    private long sequence;

    LogReplicator(RaftState state, ProgressTracker tracker) {
        this.state = state;
        this.tracker = tracker;
    }

    /** That of the next message; a member that answers it, or a later one, follows this leader still. */
    long nextSequence() {
        return sequence + 1;
    }

    // ---- Requests ----

    /** Sends what each member lacks, as far as its window allows. */
    void sendEntries(long now) {
        tracker.forEach((name, member) -> sendEntries(now, name, member));
    }

    void sendEntries(long now, String name, Progress member) {
        send(now, name, member, false);
    }

    /** Sends to each member, also if it lacks nothing. */
    void sendToAll(long now) {
        tracker.forEach((name, member) -> send(now, name, member, true));
    }

    /** Sends the commit index at once, but to members that receive a snapshot. */
    void sendCommitIndex(long now) {
        tracker.forEach((name, member) -> send(now, name, member, !member.isReceivingSnapshot()));
    }

    /** Sends to each member, and anew what was not answered. */
    void sendHeartbeats(long now) {
        long timeout = OVERDUE_HEARTBEATS * state.settings().heartbeatMicros();
        tracker.forEach((name, member) -> {
            if (member.isSendOverdue(now, timeout)) {
                member.probeFrom(member.matchIndex() + 1);
            }
            send(now, name, member, true);
        });
    }

    /** {@code always}: also without entries, as a heartbeat. */
    private void send(long now, String name, Progress member, boolean always) {
        RaftLog log = state.log();
        long prevIndex = member.nextIndex() - 1;
        long prevTerm = prevIndex < log.baseIndex() ? RaftLog.UNKNOWN_TERM : log.term(prevIndex);
        if (prevTerm == RaftLog.UNKNOWN_TERM) {
            sendSnapshotPart(now, name, member, always);
            return;
        }
        List<Entry> entries = nextEntries(member);
        if (entries.isEmpty() && !always) {
            return;
        }
        state.outbox()
                .send(
                        name,
                        new Message.AppendRequest(
                                state.term(), prevIndex, prevTerm, entries, log.commitIndex(), ++sequence));
        if (!entries.isEmpty() && member.sentEntries(now, entries.size())) {
            send(now, name, member, false);
        }
    }

    private List<Entry> nextEntries(Progress member) {
        RaftSettings.Replication limits = state.settings().replication();
        if (!member.maySend(limits.maxInFlight())) {
            return List.of();
        }
        RaftLog log = state.log();
        return log.slice(member.nextIndex(), log.lastIndex(), limits.maxBatchEntries(), limits.maxBatchBytes());
    }

    /** {@code always}: also if this part is on its way already. */
    private void sendSnapshotPart(long now, String name, Progress member, boolean always) {
        Snapshot snapshot = state.log().snapshot();
        if (!member.isReceivingSnapshot(snapshot.index())) {
            member.startSnapshot(snapshot.index());
        } else if (!always) {
            return;
        }
        int from = (int) member.snapshotOffset();
        int to = Math.min(
                snapshot.state().length, from + state.settings().snapshots().partBytes());
        member.sentSnapshotPart(now);
        state.outbox()
                .send(
                        name,
                        new Message.SnapshotChunk(
                                state.term(),
                                snapshot.index(),
                                snapshot.term(),
                                snapshot.members(),
                                from,
                                Arrays.copyOfRange(snapshot.state(), from, to),
                                snapshot.state().length,
                                ++sequence));
    }

    // ---- Answers ----

    void receive(long now, String from, Message.AppendReply reply) {
        Progress member = tracker.get(from);
        member.answered(now, reply.sequence());
        if (reply.accepted()) {
            member.accepted(reply.index(), sequence);
        } else {
            member.rejected(reply.index(), reply.sequence());
        }
        sendEntries(now, from, member);
    }

    void receive(long now, String from, Message.SnapshotReply reply) {
        Progress member = tracker.get(from);
        member.answered(now, reply.sequence());
        if (!member.isReceivingSnapshot(reply.lastIndex())) {
            return;
        }
        Snapshot snapshot = state.log().snapshot();
        if (reply.nextOffset() >= snapshot.state().length && snapshot.index() == reply.lastIndex()) {
            member.installedSnapshot(reply.lastIndex(), sequence);
            sendEntries(now, from, member);
        } else if (reply.nextOffset() != member.snapshotOffset()) {
            member.continueSnapshot(Math.min(reply.nextOffset(), snapshot.state().length));
            sendSnapshotPart(now, from, member, true);
        }
    }
}
