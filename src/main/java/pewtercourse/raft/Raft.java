package pewtercourse.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * One member of a group that replicates a log: Raft after Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm" (2014), with pre-vote, a leader that steps down without a majority, leadership transfer, changes of one
 * member at a time and confirmed reads after Ongaro's dissertation (2014: 9.6, 6.2, 3.10, 4.1, 6.4).
 *
 * <p>It knows neither sockets nor disk nor clock: messages, completed saves and {@code now} (microseconds of this
 * member's own monotonic clock) go in; {@link #take} tells what to save, send and apply. What relies on a save is held
 * back until {@link #saved} tells that it is done. For one thread at a time.
 *
 * <p>This class dispatches and carries out changes of role; {@link Election}, {@link Leader} and {@link LogReceiver} do
 * the work of each role on one {@link RaftState}.
 */
public final class Raft {
    /** The role of a server by the Raft paper, with the pre-vote of the dissertation. */
    public enum Role {
        /** Follows a leader, or waits for one. */
        FOLLOWER,
        /** Asks whether it could win an election. */
        PRE_CANDIDATE,
        /** Stands for election. */
        CANDIDATE,
        /** Takes proposals in and replicates them. */
        LEADER
    }

    /** Why a request is rejected. */
    public enum Rejection {
        /** This member doesn't lead, or a majority no longer answers it. */
        NOT_LEADER,
        /** Leadership is being transferred to another member. */
        TRANSFERRING,
        /** Too many entries are uncommitted, or too many reads wait. */
        BUSY,
        /** A change of the membership is not committed yet, or the leader has committed nothing in its term. */
        MEMBERSHIP_CHANGE_PENDING,
        /** The member is unknown, doesn't answer, has no vote, or too few voters would be left. */
        INELIGIBLE_MEMBER
    }

    /**
     * Where a proposal will stand in the log if it is committed, or why it was rejected.
     *
     * @param index of the entry, -1 if rejected
     * @param term of this member
     * @param rejection null if the proposal was accepted
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

    /** {@code saved}: what recovery found on disk. {@code random}: for election timeouts. */
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

    /** This member's role now. */
    public Role role() {
        return state.role();
    }

    /** The leader of this member's term; null while none is known. */
    public String leader() {
        return state.leader();
    }

    /** The term that this member is in. */
    public long term() {
        return state.term();
    }

    /** The last entry that this member knows to be committed. */
    public long commitIndex() {
        return state.log().commitIndex();
    }

    /** The last entry of this member's log. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** The last entry that this member's snapshot stands for. */
    public long snapshotIndex() {
        return state.log().snapshot().index();
    }

    /** Stands for this member's data folder, see {@link Membership}. */
    public long incarnation() {
        return incarnation;
    }

    /** The membership as of the log's end, which may not be committed yet. */
    public Membership members() {
        return state.members();
    }

    /** The membership as of what this member knows to be committed: without a change that is pending. */
    public Membership committedMembers() {
        return state.membership().committed();
    }

    /**
     * Whether a member has a vote both by what is committed and by the log's end, for the same incarnation. Only then may
     * another member be stopped in reliance on it: a promotion that is not committed can still be lost with the leader.
     */
    public boolean isCommittedVoter(String name) {
        return state.membership().isCommittedVoter(name);
    }

    /** Whether the committed membership lacks this member, by its own log or by what others told. */
    public boolean isNonMember() {
        return state.membership().isNonMember();
    }

    /** How many entries each other member lacks; empty but on a leader. */
    public Map<String, Long> lag() {
        return leader.tracker().lag();
    }

    /** Who lacks what it had said it had saved, and counts no more until it is replaced; empty but on a leader. */
    public Set<String> membersWithLostLog() {
        return leader.tracker().withLostLog();
    }

    /** The leader and who answered it within the longest election timeout; empty but on a leader. */
    public Set<String> recentlyActive(long now) {
        Set<String> names = new HashSet<>();
        if (state.isLeader()) {
            names.add(state.self());
            names.addAll(leader.tracker().recentlyActive(now));
        }
        return names;
    }

    /** The voter that is best to transfer leadership to: it answers and lacks least. Empty but on a leader. */
    public Optional<String> bestTransferCandidate(long now) {
        return leader.tracker().bestTransferCandidate(now);
    }

    /** When {@link #tick} has something to do next, by the caller's clock. */
    public long wakeAt() {
        return state.isLeader() ? leader.heartbeatDue() : election.timeoutAt();
    }

    // ---- Inputs ----

    /** Time has passed. After a pause of the process this must come before anything is proposed. */
    public void tick(long now) {
        state.outbox().saveCommitLater();
        if (state.isLeader()) {
            if (leader.tick(now)) {
                membershipChanges.promoteCaughtUpLearner(now);
            }
        } else if (now >= election.timeoutAt()) {
            election.campaign(now, Election.Campaign.PRE_VOTE);
        }
    }

    /** A message has come. {@code incarnation}: of the sender's data folder. */
    public void receive(long now, String from, long senderIncarnation, Message message) {
        if (from.equals(state.self())) {
            return;
        }
        if (message.term() > state.term() && message.provesTerm()) {
            stepDown(now, message.term(), message.isFromLeader() ? from : null);
        }
        message.dispatch(new Dispatcher(now, new Sender(from, senderIncarnation)));
    }

    /** The save with this number, and all before it, are on disk. */
    public void saved(long now, long number) {
        state.outbox().saved(number);
        if (state.isLeader()) {
            leader.advanceCommit(now);
        }
    }

    /** Takes a command in; it is committed once it is among the committed entries with the index and term returned. */
    public ProposalResult propose(long now, byte[] command) {
        Rejection rejection = leader.rejection(now);
        if (rejection != null) {
            return ProposalResult.rejected(state.term(), rejection);
        }
        leader.append(now, Entry.command(state.log().lastIndex() + 1, state.term(), command));
        return ProposalResult.accepted(state.log().lastIndex(), state.term());
    }

    /** Adds a member that learns first and votes once it has caught up; or gives a present member another address. */
    public ProposalResult addMember(long now, String name, String address, long memberIncarnation) {
        return membershipChanges.add(now, name, address, memberIncarnation);
    }

    /** Removes a member. */
    public ProposalResult removeMember(long now, String name) {
        return membershipChanges.remove(now, name);
    }

    /**
     * Transfers leadership to a voter. For up to one election timeout nothing else is accepted.
     *
     * @return why it is rejected, or null
     */
    public Rejection transferLeadership(long now, String target) {
        return leader.transfer(now, target);
    }

    /**
     * Asks a majority whether this member still leads; {@link Ready#reads} has the answer under this id.
     *
     * @return why it is rejected, or null
     */
    public Rejection read(long now, long id) {
        return leader.read(now, id);
    }

    /** A snapshot of the state after the entry {@code index}, which was applied; null if there is nothing new to take. */
    public Snapshot snapshotAt(long index, byte[] applied) {
        RaftLog log = state.log();
        return index <= log.snapshot().index() || index > log.appliedIndex()
                ? null
                : new Snapshot(index, log.term(index), log.membersAt(index), applied);
    }

    /** The snapshot is on disk: the entries that it stands for may go. */
    public void compacted(Snapshot snapshot) {
        RaftLog log = state.log();
        if (snapshot.index() > log.snapshot().index() && snapshot.index() <= log.appliedIndex()) {
            log.compact(snapshot, state.settings().snapshots().trailingEntries());
            state.outbox().compacted(snapshot);
        }
    }

    // ---- Outputs ----

    /** What is to be done now. */
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

    /** Hands one message to the part that it is for. */
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
            state.membership().clearReport();
            election.leaderContact(now);
        }

        @Override
        public void becomeCandidate(Role candidacy) {
            leader.stop();
            state.setRole(candidacy, null);
        }

        @Override
        public void becomeLeader(long now) {
            state.setRole(Role.LEADER, state.self());
            state.membership().clearReport();
            leader.start(now);
        }
    }
}
