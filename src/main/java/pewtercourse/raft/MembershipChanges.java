package pewtercourse.raft;

import java.util.Map;

/**
 * Changes the membership by one member at a time, so that the majorities before and after a change overlap
 * (dissertation, 4.1). A new member starts as a learner and becomes a voter once its log has caught up.
 */
final class MembershipChanges {
    private static final int MIN_VOTERS = 2;

    private final RaftState state;
    private final Leader leader;

    MembershipChanges(RaftState state, Leader leader) {
        this.state = state;
        this.leader = leader;
    }

    Raft.ProposalResult add(long now, String name, String address, long incarnation) {
        Membership updated = state.members().with(name, new Membership.Member(address, incarnation, false));
        return updated.voterCount() < MIN_VOTERS ? rejectIneligibleMember() : propose(now, updated);
    }

    Raft.ProposalResult remove(long now, String name) {
        Membership updated = state.members().without(name);
        boolean isMember = state.members().all().containsKey(name);
        return !isMember || updated.voterCount() < MIN_VOTERS ? rejectIneligibleMember() : propose(now, updated);
    }

    /** Replaces a member that restarted with a new data folder by a learner with the new incarnation. */
    void readmit(long now, Sender member) {
        String address = state.members().all().get(member.name()).address();
        add(now, member.name(), address, member.incarnation());
    }

    /** Proposes to make the first learner that has all committed entries a voter, if there is one. */
    void promoteCaughtUpLearner(long now) {
        for (Map.Entry<String, Membership.Member> entry : state.members().all().entrySet()) {
            Membership.Member member = entry.getValue();
            if (!member.voter() && isCaughtUp(now, entry.getKey())) {
                Membership.Member promoted = new Membership.Member(member.address(), member.incarnation(), true);
                propose(now, state.members().with(entry.getKey(), promoted));
                return;
            }
        }
    }

    private boolean isCaughtUp(long now, String name) {
        Progress progress = leader.tracker().get(name);
        return progress != null
                && progress.matchIndex() >= state.log().commitIndex()
                && progress.matchIndex() > 0
                && progress.isActive(now, state.settings().maxElectionTimeoutMicros());
    }

    private Raft.ProposalResult propose(long now, Membership updated) {
        Raft.Rejection rejection = leader.rejection(now);
        // A leader must first commit an entry of its own term. Otherwise the changes of two leaders could both
        // take effect (Ongaro, raft-dev, 2015).
        if (rejection == null && (state.membership().isChangePending() || !leader.hasCommittedInTerm())) {
            rejection = Raft.Rejection.MEMBERSHIP_CHANGE_PENDING;
        }
        if (rejection != null) {
            return Raft.ProposalResult.rejected(state.term(), rejection);
        }
        leader.append(now, Entry.members(state.log().lastIndex() + 1, state.term(), updated));
        return Raft.ProposalResult.accepted(state.log().lastIndex(), state.term());
    }

    private Raft.ProposalResult rejectIneligibleMember() {
        Raft.Rejection rejection = state.isLeader() ? Raft.Rejection.INELIGIBLE_MEMBER : Raft.Rejection.NOT_LEADER;
        return Raft.ProposalResult.rejected(state.term(), rejection);
    }
}
