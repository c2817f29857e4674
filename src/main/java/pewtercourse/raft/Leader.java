package pewtercourse.raft;

import java.util.Set;

/**
 * Implements the leader role: appends entries, commits those that a majority has saved, confirms reads, and steps down
 * when it has lost contact with a majority (dissertation, 6.2).
 */
final class Leader {
    private final RaftState state;
    private final RoleTransitions transitions;
    private final ProgressTracker tracker;
    private final LogReplicator replicator;
    private final LeadershipTransfer transfer;
    private final ReadIndexQueue reads = new ReadIndexQueue();
    private long firstIndexOfTerm;
    private long heartbeatDue;

    Leader(RaftState state, RoleTransitions transitions) {
        this.state = state;
        this.transitions = transitions;
        this.tracker = new ProgressTracker(state);
        this.replicator = new LogReplicator(state, tracker);
        this.transfer = new LeadershipTransfer(state, tracker, replicator);
    }

    ProgressTracker tracker() {
        return tracker;
    }

    ReadIndexQueue reads() {
        return reads;
    }

    // ---- Term ----

    /**
     * Starts the term of this member after its election. Appends an empty entry: once an entry of its own term is
     * committed, the leader knows which earlier entries are committed (Raft, section 8).
     */
    void start(long now) {
        tracker.reset(now);
        firstIndexOfTerm = state.log().lastIndex() + 1;
        append(now, Entry.empty(firstIndexOfTerm, state.term()));
        heartbeatDue = now + state.settings().heartbeatMicros();
    }

    void stop() {
        reads.failAll();
        tracker.clear();
        transfer.cancel();
    }

    long heartbeatDue() {
        return heartbeatDue;
    }

    /** Handles the passage of time; returns whether heartbeats were sent. */
    boolean tick(long now) {
        transfer.cancelIfExpired(now);
        if (!tracker.isQuorumActive(now)) {
            transitions.stepDown(now, state.term(), null);
            return false;
        }
        if (now < heartbeatDue) {
            return false;
        }
        heartbeatDue = now + state.settings().heartbeatMicros();
        replicator.sendHeartbeats(now);
        return true;
    }

    /** Whether this member is the leader and a majority has replied to it recently. */
    boolean isActive(long now) {
        return state.isLeader() && tracker.isQuorumActive(now);
    }

    /** Whether an entry of the current term is committed. */
    boolean hasCommittedInTerm() {
        return state.log().commitIndex() >= firstIndexOfTerm;
    }

    // ---- Requests ----

    /** Returns the reason why nothing can be appended now, or null if entries can be appended. */
    Raft.Rejection rejection(long now) {
        if (!isActive(now)) {
            return Raft.Rejection.NOT_LEADER;
        }
        if (transfer.isInProgress()) {
            return Raft.Rejection.TRANSFERRING;
        }
        long uncommitted = state.log().lastIndex() - state.log().commitIndex();
        return uncommitted >= state.settings().replication().maxUncommitted() ? Raft.Rejection.BUSY : null;
    }

    void append(long now, Entry entry) {
        state.append(entry);
        if (entry.kind() == Entry.Kind.MEMBERS) {
            tracker.onMembershipChanged();
        }
        replicator.sendEntries(now);
        advanceCommit(now);
    }

    /** Starts a leadership transfer; returns the reason if it is rejected, otherwise null. */
    Raft.Rejection transfer(long now, String target) {
        if (!state.isLeader()) {
            return Raft.Rejection.NOT_LEADER;
        }
        if (!transfer.isEligible(now, target)) {
            return Raft.Rejection.INELIGIBLE_MEMBER;
        }
        transfer.start(now, target);
        return null;
    }

    /** Starts a linearizable read; returns the reason if it is rejected, otherwise null. */
    Raft.Rejection read(long now, long id) {
        if (!state.isLeader()) {
            return Raft.Rejection.NOT_LEADER;
        }
        if (reads.size() >= state.settings().replication().maxUncommitted()) {
            return Raft.Rejection.BUSY;
        }
        // Until an entry of its own term is committed, the leader may not know all committed entries (Raft,
        // section 8).
        long index = Math.max(state.log().commitIndex(), firstIndexOfTerm);
        reads.add(id, index, replicator.nextSequence());
        replicator.sendToAll(now);
        confirmReads();
        return null;
    }

    // ---- Replies ----

    /** Whether a reply of this term comes from a member whose incarnation is not the one in the log. */
    boolean isFromNewIncarnation(Sender sender, long term) {
        Progress progress = progressOfReply(sender, term);
        return progress != null && progress.incarnation() != sender.incarnation();
    }

    // Null unless this member is the leader of the reply's term and the sender is one of the other members.
    private Progress progressOfReply(Sender sender, long term) {
        return state.isLeader() && term == state.term() ? tracker.get(sender.name()) : null;
    }

    void receive(long now, Sender sender, Message.AppendReply reply) {
        if (progressOfReply(sender, reply.term()) == null) {
            return;
        }
        replicator.receive(now, sender.name(), reply);
        advanceCommit(now);
        confirmReads();
        if (transfer.isTarget(sender.name())) {
            transfer.sendNext(now);
        }
    }

    void receive(long now, Sender sender, Message.SnapshotReply reply) {
        if (progressOfReply(sender, reply.term()) == null) {
            return;
        }
        replicator.receive(now, sender.name(), reply);
        advanceCommit(now);
        confirmReads();
    }

    /**
     * Commits the entries that a majority has saved. Only an entry of the current term is committed by counting (Raft,
     * 5.4.2): an entry of an earlier term can be overwritten although a majority has saved it.
     */
    void advanceCommit(long now) {
        long committedIndex = highestSavedByQuorum();
        if (committedIndex == state.log().commitIndex()) {
            return;
        }
        state.log().commitTo(committedIndex);
        confirmReads();
        // Sent at once, so that the member that proposed a command does not have to wait for the next heartbeat.
        replicator.sendCommitIndex(now);
        if (!state.membership().isChangePending() && !state.membership().isSelfVoter()) {
            transitions.stepDown(now, state.term(), null); // The removal of this member is committed.
        }
    }

    private long highestSavedByQuorum() {
        RaftLog log = state.log();
        long highest = log.commitIndex();
        for (long index = Math.max(highest + 1, firstIndexOfTerm); index <= log.lastIndex(); index++) {
            if (!isSavedByQuorum(index)) {
                break;
            }
            highest = index;
        }
        return highest;
    }

    private boolean isSavedByQuorum(long index) {
        Set<String> votersWithEntry = tracker.votersMatching(progress -> progress.matchIndex() >= index);
        if (state.outbox().savedIndex() >= index) {
            votersWithEntry.add(state.self());
        }
        return state.members().isQuorum(votersWithEntry);
    }

    private void confirmReads() {
        reads.confirm(state.log().commitIndex(), sequence -> {
            Set<String> confirmingVoters = tracker.votersMatching(progress -> progress.hasConfirmed(sequence));
            confirmingVoters.add(state.self());
            return state.members().isQuorum(confirmingVoters);
        });
    }
}
