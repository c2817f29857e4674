package pewtercourse.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * One member of a group that replicates a log with Raft, as described by Ongaro and Ousterhout in "In Search of an
 * Understandable Consensus Algorithm" (2014). Pre-vote, the leader that steps down without a majority, leadership
 * transfer, membership changes by one member at a time, and linearizable reads follow Ongaro's dissertation (2014:
 * sections 9.6, 6.2, 3.10, 4.1 and 6.4).
 *
 * <p>The class has no access to sockets, disk or clock. Its inputs are messages, completed saves and {@code now}, the
 * time of this member's own monotonic clock in microseconds. Its outputs are the results of {@link #take}: what to
 * save, send and apply. A message that depends on a save is deferred until {@link #saved} reports that the save has
 * completed. The class is not thread-safe.
 *
 * <p>This class dispatches the inputs and carries out changes of role. {@link Election}, {@link Leader} and
 * {@link LogReceiver} implement the roles; they share one {@link RaftState}.
 */
public final class Raft {
    /** The role of a server in the Raft paper, and that of a pre-vote in the dissertation. */
    public enum Role {
        /** Follows a leader, or waits for the election of one. */
        FOLLOWER,
        /** Runs a pre-vote: asks the voters whether it could win an election. */
        PRE_CANDIDATE,
        /** Runs an election. */
        CANDIDATE,
        /** Accepts proposals and replicates them. */
        LEADER
    }

    /** The reason why a request is rejected. */
    public enum Rejection {
        /** This member is not the leader, or has lost contact with a majority. */
        NOT_LEADER,
        /** Leadership is being transferred to another member. */
        TRANSFERRING,
        /** Too many entries are uncommitted, or too many reads are pending. */
        BUSY,
        /** A membership change is not committed yet, or the leader has not committed an entry of its own term yet. */
        MEMBERSHIP_CHANGE_PENDING,
        /** The member is unknown, does not reply, is not a voter, or its removal would leave too few voters. */
        INELIGIBLE_MEMBER
    }

    /**
     * The index and term of a proposed entry, or the reason why the proposal was rejected.
     *
     * @param index the index of the entry; -1 if the proposal was rejected
     * @param term the current term of this member
     * @param rejection the reason for the rejection; null if the proposal was accepted
     */
    public record ProposalResult(long index, long term, Rejection rejection) {
        static ProposalResult accepted(long index, long term) {
            return new ProposalResult(index, term, null);
        }

        static ProposalResult rejected(long term, Rejection rejection) {
            return new ProposalResult(-1, term, rejection);
        }
    }

    private final RaftState state;
    private final long incarnation;
    private final Election election;
    private final Leader leader;
    private final MembershipChanges membershipChanges;
    private final LogReceiver receiver;

    /**
     * Starts a member as a follower.
     *
     * @param self the name of this member
     * @param saved the state recovered from disk
     * @param now the current time
     * @param random draws the election timeouts
     */
    public Raft(RaftSettings settings, String self, Saved saved, long now, Random random) {
        Transitions transitions = new Transitions();
        this.incarnation = saved.incarnation();
        this.state = new RaftState(settings, self, saved);
        this.election = new Election(state, transitions, random);
        this.leader = new Leader(state, transitions);
        this.membershipChanges = new MembershipChanges(state, leader);
        this.receiver = new LogReceiver(state, transitions, saved.snapshot());
        election.resetTimer(now);
    }

    // ---- Status ----

    /** The current role of this member. */
    public Role role() {
        return state.role();
    }

    /** The leader of the current term; null while it is not known. */
    public String leader() {
        return state.leader();
    }

    /** The current term of this member. */
    public long term() {
        return state.term();
    }

    /** The index of the last entry that this member knows to be committed. */
    public long commitIndex() {
        return state.log().commitIndex();
    }

    /** The index of the last entry of this member's log. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** The index of the last entry that this member's snapshot contains. */
    public long snapshotIndex() {
        return state.log().snapshot().index();
    }

    /** The incarnation of this member's data folder, see {@link Membership}. */
    public long incarnation() {
        return incarnation;
    }

    /** The membership at the end of the log, which may not be committed yet. */
    public Membership members() {
        return state.members();
    }

    /** The membership at the commit index that this member knows, without a pending change. */
    public Membership committedMembers() {
        return state.membership().committed();
    }

    /**
     * Whether the member is a voter, with the same incarnation, in both the committed and the latest membership. Only
     * such a voter may be relied on when another member is stopped: a promotion that is not committed is lost if the
     * leader fails.
     */
    public boolean isCommittedVoter(String name) {
        return state.membership().isCommittedVoter(name);
    }

    /** Whether this member was removed, according to its own log or to a report of another member. */
    public boolean isNonMember() {
        return state.membership().isNonMember();
    }

    /** The number of entries that each other member lacks; empty unless this member is the leader. */
    public Map<String, Long> lag() {
        return leader.tracker().lag();
    }

    /**
     * The members that lack entries which they acknowledged as saved. Their replies do not count until they are
     * replaced. Empty unless this member is the leader.
     */
    public Set<String> membersWithLostLog() {
        return leader.tracker().membersWithLostLog();
    }

    /**
     * This member and the others that replied to it within the longest election timeout; empty unless this member is
     * the leader.
     */
    public Set<String> recentlyActive(long now) {
        Set<String> names = new HashSet<>();
        if (state.isLeader()) {
            names.add(state.self());
            names.addAll(leader.tracker().recentlyActive(now));
        }
        return names;
    }

    /**
     * The voter to which leadership is best transferred: of those that replied recently, the one that lacks the fewest
     * entries. Empty unless this member is the leader.
     */
    public Optional<String> bestTransferCandidate(long now) {
        return leader.tracker().bestTransferCandidate(now);
    }

    /** The time at which {@link #tick} has to be called next. */
    public long wakeAt() {
        return state.isLeader() ? leader.heartbeatDue() : election.timeoutAt();
    }

    // ---- Inputs ----

    /**
     * Handles the passage of time. After a pause of the process the caller has to call this method before it proposes
     * anything, so that a leader that has lost its majority steps down first.
     */
    public void tick(long now) {
        state.outbox().requestCommitIndexSave();
        if (state.isLeader()) {
            if (leader.tick(now)) {
                membershipChanges.promoteCaughtUpLearner(now);
            }
        } else if (now >= election.timeoutAt()) {
            election.campaign(now, Election.Campaign.PRE_VOTE);
        }
    }

    /**
     * Handles a message.
     *
     * @param from the name of the sender
     * @param senderIncarnation the incarnation of the sender's data folder
     */
    public void receive(long now, String from, long senderIncarnation, Message message) {
        if (from.equals(state.self())) {
            return;
        }
        if (message.term() > state.term() && message.provesTerm()) {
            stepDown(now, message.term(), message.isFromLeader() ? from : null);
        }
        message.dispatch(new Dispatcher(now, new Sender(from, senderIncarnation)));
    }

    /** The save with this number and all earlier ones are on disk. */
    public void saved(long now, long number) {
        state.outbox().onSaved(number);
        if (state.isLeader()) {
            leader.advanceCommit(now);
        }
    }

    /**
     * Proposes a command. The command is committed once {@link Ready#committed} contains an entry with the returned
     * index and term.
     */
    public ProposalResult propose(long now, byte[] command) {
        Rejection rejection = leader.rejection(now);
        if (rejection != null) {
            return ProposalResult.rejected(state.term(), rejection);
        }
        leader.append(now, Entry.command(state.log().lastIndex() + 1, state.term(), command));
        return ProposalResult.accepted(state.log().lastIndex(), state.term());
    }

    /**
     * Proposes to add a member, which starts as a learner and becomes a voter once its log has caught up. An existing
     * member gets the new address and becomes a learner again.
     *
     * @param memberIncarnation the incarnation of the member's data folder; 0 if it is not known yet, so that the
     *     member's first reply sets it
     */
    public ProposalResult addMember(long now, String name, String address, long memberIncarnation) {
        return membershipChanges.add(now, name, address, memberIncarnation);
    }

    /** Proposes to remove a member. */
    public ProposalResult removeMember(long now, String name) {
        return membershipChanges.remove(now, name);
    }

    /**
     * Starts to transfer leadership to a voter. Until the transfer ends, at the latest after the longest election
     * timeout, proposals are rejected.
     *
     * @return the reason why the transfer is rejected, or null
     */
    public Rejection transferLeadership(long now, String target) {
        return leader.transfer(now, target);
    }

    /**
     * Starts a linearizable read: asks a majority to confirm that this member is still the leader. {@link Ready#reads}
     * returns the result under this id.
     *
     * @return the reason why the read is rejected, or null
     */
    public Rejection read(long now, long id) {
        return leader.read(now, id);
    }

    /**
     * Creates a snapshot of the state machine at an applied entry.
     *
     * @param index the index of the last entry that the state contains
     * @param encodedState the encoded state of the state machine
     * @return null if the entry is not applied yet or an existing snapshot already contains it
     */
    public Snapshot snapshotAt(long index, byte[] encodedState) {
        RaftLog log = state.log();
        return index <= log.snapshot().index() || index > log.appliedIndex()
                ? null
                : new Snapshot(index, log.term(index), log.membersAt(index), encodedState);
    }

    /** The snapshot is on disk: removes the entries that it contains, except for the trailing ones. */
    public void compacted(Snapshot snapshot) {
        RaftLog log = state.log();
        if (snapshot.index() > log.snapshot().index() && snapshot.index() <= log.appliedIndex()) {
            log.compact(snapshot, state.settings().snapshots().trailingEntries());
            state.outbox().onCompacted(snapshot);
        }
    }

    // ---- Outputs ----

    /** Returns the actions that the caller has to carry out now, and clears them here. */
    public Ready take() {
        Save save = state.outbox().takeSave(state.term(), state.votedFor());
        Snapshot snapshot = receiver.takePendingSnapshot().orElse(null);
        List<Entry> committed = state.log().takeCommitted();
        return new Ready(
                save,
                state.outbox().takeMessages(),
                snapshot,
                committed,
                leader.reads().takeResults());
    }

    // ---- Dispatch ----

    /** Dispatches one message to the class that handles it. */
    private final class Dispatcher implements Message.Handler {
        private final long now;
        private final Sender sender;

        Dispatcher(long now, Sender sender) {
            this.now = now;
            this.sender = sender;
        }

        @Override
        public void receive(Message.VoteRequest request) {
            election.receive(now, sender, request, leader.isActive(now));
        }

        @Override
        public void receive(Message.VoteReply reply) {
            election.receive(now, sender, reply);
        }

        @Override
        public void receive(Message.AppendRequest request) {
            receiver.receive(now, sender.name(), request);
        }

        @Override
        public void receive(Message.AppendReply reply) {
            if (leader.isFromNewIncarnation(sender, reply.term())) {
                membershipChanges.readmit(now, sender);
            } else {
                leader.receive(now, sender, reply);
            }
        }

        @Override
        public void receive(Message.SnapshotChunk chunk) {
            receiver.receive(now, sender.name(), chunk);
        }

        @Override
        public void receive(Message.SnapshotReply reply) {
            if (leader.isFromNewIncarnation(sender, reply.term())) {
                membershipChanges.readmit(now, sender);
            } else {
                leader.receive(now, sender, reply);
            }
        }

        @Override
        public void receive(Message.TimeoutNow request) {
            if (request.term() == state.term() && state.membership().isSelfVoter()) {
                election.campaign(now, Election.Campaign.TRANSFER);
            }
        }
    }

    // ---- Changes of role ----

    private void stepDown(long now, long term, String newLeader) {
        state.adoptTerm(term);
        leader.stop();
        state.setRole(Role.FOLLOWER, newLeader);
        election.resetTimer(now);
    }

    private final class Transitions implements RoleTransitions {
        @Override
        public void stepDown(long now, long term, String newLeader) {
            Raft.this.stepDown(now, term, newLeader);
        }

        @Override
        public void followLeader(long now, String newLeader) {
            if (state.role() != Role.FOLLOWER || !newLeader.equals(state.leader())) {
                leader.stop();
                state.setRole(Role.FOLLOWER, newLeader);
            }
            state.membership().clearNonMemberReport();
            election.onLeaderContact(now);
        }

        @Override
        public void becomeCandidate(Role candidacy) {
            leader.stop();
            state.setRole(candidacy, null);
        }

        @Override
        public void becomeLeader(long now) {
            state.setRole(Role.LEADER, state.self());
            state.membership().clearNonMemberReport();
            leader.start(now);
        }
    }
}
