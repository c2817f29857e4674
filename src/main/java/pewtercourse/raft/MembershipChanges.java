package pewtercourse.raft;

import java.util.Map;

/**
 * Changes of the membership, one member at a time so that the majorities before and after overlap (dissertation, 4.1). A
 * new member learns first, and gets its vote once it has caught up.
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
        Membership next = state.members().with(name, new Membership.Member(address, incarnation, false));
        return next.voterCount() < MIN_VOTERS ? ineligible() : propose(now, next);
    }

    Raft.ProposalResult remove(long now, String name) {
        Membership next = state.members().without(name);
        boolean member = state.members().all().containsKey(name);
        return !member || next.voterCount() < MIN_VOTERS ? ineligible() : propose(now, next);
    }

    /** A member has come back with another data folder: it learns anew before it counts again. */
    void readmit(long now, Sender member) {
        String address = state.members().all().get(member.name()).address();
        add(now, member.name(), address, member.incarnation());
    }

    /** Proposes a vote for the first learner that has all that is committed, if there is one. */
    void promoteCaughtUpLearner(long now) {
        for (Map.Entry<String, Membership.Member> entry : state.members().all().entrySet()) {
            Membership.Member member = entry.getValue();
            if (!member.voter() && isCaughtUp(now, entry.getKey())) {
                Membership.Member voter = new Membership.Member(member.address(), member.incarnation(), true);
                propose(now, state.members().with(entry.getKey(), voter));
                return;
            }
        }
    }

    private boolean isCaughtUp(long now, String name) {
        Progress member = leader.tracker().get(name);
        return member != null
                && member.matchIndex() >= state.log().commitIndex()
                && member.matchIndex() > 0
                && member.isActive(now, state.settings().maxElectionTimeoutMicros());
    }

    private Raft.ProposalResult propose(long now, Membership next) {
        Raft.Rejection rejection = leader.rejection(now);
        // Not before an entry of this term is committed: two leaders' changes could else both hold (Ongaro, raft-dev,
        // 2015).
        if (rejection == null && (state.membership().isChangePending() || !leader.hasCommittedInTerm())) {
            rejection = Raft.Rejection.MEMBERSHIP_CHANGE_PENDING;
        }
        if (rejection != null) {
            return Raft.ProposalResult.rejected(state.term(), rejection);
        }
        leader.append(now, Entry.members(state.log().lastIndex() + 1, state.term(), next));
        return Raft.ProposalResult.accepted(state.log().lastIndex(), state.term());
    }

    private Raft.ProposalResult ineligible() {
        Raft.Rejection rejection = state.isLeader() ? Raft.Rejection.INELIGIBLE_MEMBER : Raft.Rejection.NOT_LEADER;
        return Raft.ProposalResult.rejected(state.term(), rejection);
    }
}
