package pewtercourse.raft;

import java.util.Set;

/**
 * What a member does while it leads: takes entries in, commits what a majority has saved, confirms reads, and steps down
 * when a majority no longer answers (dissertation, 6.2).
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

    // ---- Its term ----

    /** This member was elected. An entry of its own term lets it find out what is committed (Raft, section 8). */
    void start(long now) {
        tracker.start(now);
        firstIndexOfTerm = state.log().lastIndex() + 1;
        append(now, Entry.empty(firstIndexOfTerm, state.term()));
        heartbeatDue = now + state.settings().heartbeatMicros();
    }

    void stop() {
        reads.fail();
        tracker.clear();
        transfer.cancel();
    }

    long heartbeatDue() {
        return heartbeatDue;
    }

    /** True if heartbeats went out. */
    boolean tick(long now) {
        transfer.expire(now);
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

    /** Whether a majority answers, so that this member still leads as far as it can know. */
    boolean isActive(long now) {
        return state.isLeader() && tracker.isQuorumActive(now);
    }

    /** Whether an entry of this term is committed. */
    boolean hasCommittedInTerm() {
        return state.log().commitIndex() >= firstIndexOfTerm;
    }

    // ---- Requests ----

    /** Why nothing can be appended now, or null. */
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
            tracker.membershipChanged();
        }
        replicator.sendEntries(now);
        advanceCommit(now);
    }

    /** Null, or why it is rejected. */
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

    /** Null, or why it is rejected. */
    Raft.Rejection read(long now, long id) {
        if (!state.isLeader()) {
            return Raft.Rejection.NOT_LEADER;
        }
        if (reads.size() >= state.settings().replication().maxUncommitted()) {
            return Raft.Rejection.BUSY;
        }
        // Before its first own entry is committed a leader may not know all that is (Raft, section 8).
        long index = Math.max(state.log().commitIndex(), firstIndexOfTerm);
        reads.add(id, index, replicator.nextSequence());
        replicator.sendToAll(now);
        confirmReads();
        return null;
    }

    // ---- Answers ----

    /** Whether this is an answer to this leader from another incarnation than that in the log. */
    boolean isFromNewIncarnation(Sender sender, long term) {
        Progress member = addressee(sender, term);
        return member != null && member.incarnation() != sender.incarnation();
    }

    private Progress addressee(Sender sender, long term) {
        return state.isLeader() && term == state.term() ? tracker.get(sender.name()) : null;
    }

    void receive(long now, Sender sender, Message.AppendReply reply) {
        if (addressee(sender, reply.term()) == null) {
            return;
        }
        replicator.receive(now, sender.name(), reply);
        advanceCommit(now);
        confirmReads();
        if (transfer.isTarget(sender.name())) {
            transfer.proceed(now);
        }
    }

    void receive(long now, Sender sender, Message.SnapshotReply reply) {
        if (addressee(sender, reply.term()) == null) {
            return;
        }
        replicator.receive(now, sender.name(), reply);
        advanceCommit(now);
        confirmReads();
    }

    /**
     * Commits what a majority has saved. Only an entry of the own term shows that (Raft, 5.4.2): one of an earlier term
     * can be overwritten although a majority has it.
     */
    void advanceCommit(long now) {
        long committed = highestSavedByQuorum();
        if (committed == state.log().commitIndex()) {
            return;
        }
        state.log().commitTo(committed);
        confirmReads();
        // At once: a member that has asked for something would else learn of it only with the next heartbeat.
        replicator.sendCommitIndex(now);
        if (!state.membership().isChangePending() && !state.membership().isSelfVoter()) {
            transitions.stepDown(now, state.term(), null); // It has committed its own removal.
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
        Set<String> saved = tracker.votersWith(member -> member.matchIndex() >= index);
        if (state.outbox().savedIndex() >= index) {
            saved.add(state.self());
        }
        return state.members().isQuorum(saved);
    }

    private void confirmReads() {
        reads.confirm(state.log().commitIndex(), sequence -> {
            Set<String> confirmed = tracker.votersWith(member -> member.hasConfirmed(sequence));
            confirmed.add(state.self());
            return state.members().isQuorum(confirmed);
        });
    }
}
