package pewtercourse.raft;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Handles elections: the election timer, the campaign of this member as a candidate, and its votes for other
 * candidates. A campaign starts with a pre-vote (dissertation, 9.6), so that a member that was partitioned from the
 * others does not raise their term when it reconnects.
 */
final class Election {
    /** The type of a campaign. */
    enum Campaign {
        /** Asks the voters whether this member could win an election; changes no term or vote. */
        PRE_VOTE,
        /** An election after a majority has granted the pre-vote. */
        ELECTION,
        /** An election at the leader's request, which voters accept although they have an active leader. */
        TRANSFER
    }

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RaftState state;
    private final RoleTransitions transitions;
    private final Random random;
    private final Set<String> votes = new HashSet<>();
    private long timeoutAt;
    private long lastLeaderContact = NEVER;

    Election(RaftState state, RoleTransitions transitions, Random random) {
        this.state = state;
        this.transitions = transitions;
        this.random = random;
    }

    // ---- Election timer ----

    /** The time at which this member starts a campaign unless it receives a message of a leader before. */
    long timeoutAt() {
        return timeoutAt;
    }

    void resetTimer(long now) {
        RaftSettings settings = state.settings();
        long rangeMicros = settings.maxElectionTimeoutMicros() - settings.minElectionTimeoutMicros();
        timeoutAt = now + settings.minElectionTimeoutMicros() + (long) (random.nextDouble() * rangeMicros);
    }

    /** Records a message of the leader. */
    void onLeaderContact(long now) {
        lastLeaderContact = now;
        resetTimer(now);
    }

    // ---- Candidate ----

    void campaign(long now, Campaign campaign) {
        if (!state.membership().isSelfVoter()) {
            resetTimer(now);
            return;
        }
        boolean preVote = campaign == Campaign.PRE_VOTE;
        transitions.becomeCandidate(preVote ? Raft.Role.PRE_CANDIDATE : Raft.Role.CANDIDATE);
        votes.clear();
        votes.add(state.self());
        resetTimer(now);
        long requestedTerm = state.term() + 1;
        if (!preVote) {
            state.startTermWithVoteForSelf();
        }
        if (state.members().isQuorum(votes)) {
            finishWonCampaign(now, preVote);
            return;
        }
        RaftLog log = state.log();
        requestVotes(new Message.VoteRequest(
                requestedTerm, log.lastIndex(), log.lastTerm(), preVote, campaign == Campaign.TRANSFER));
    }

    private void requestVotes(Message.VoteRequest request) {
        state.members().all().forEach((name, member) -> {
            if (!member.voter() || name.equals(state.self())) {
                return;
            }
            if (request.preVote()) {
                state.outbox().send(name, request);
            } else {
                state.outbox().sendAfterSave(name, request);
            }
        });
    }

    void receive(long now, Sender sender, Message.VoteReply reply) {
        if (reply.nonMember()) {
            state.membership().reportNonMember();
        }
        if (!isReplyToCurrentCampaign(reply)
                || !reply.granted()
                || !state.members().isVoter(sender.name(), sender.incarnation())) {
            return;
        }
        votes.add(sender.name());
        if (state.members().isQuorum(votes)) {
            finishWonCampaign(now, reply.preVote());
        }
    }

    private boolean isReplyToCurrentCampaign(Message.VoteReply reply) {
        return reply.preVote()
                ? state.role() == Raft.Role.PRE_CANDIDATE && reply.term() == state.term() + 1
                : state.role() == Raft.Role.CANDIDATE && reply.term() == state.term();
    }

    private void finishWonCampaign(long now, boolean preVote) {
        if (preVote) {
            campaign(now, Campaign.ELECTION);
        } else {
            transitions.becomeLeader(now);
        }
    }

    // ---- Voter ----

    /** {@code isActiveLeader}: whether this member is the leader and a majority has replied to it recently. */
    void receive(long now, Sender sender, Message.VoteRequest request, boolean isActiveLeader) {
        // A member that has lost contact with the leader must not depose it while others have contact
        // (dissertation, 4.2.3).
        boolean leaderActive =
                isActiveLeader || now - lastLeaderContact < state.settings().minElectionTimeoutMicros();
        if (request.preVote()) {
            replyToPreVote(sender, request, leaderActive);
        } else if (!leaderActive || request.transfer()) {
            replyToVote(now, sender, request);
        }
    }

    private void replyToPreVote(Sender sender, Message.VoteRequest request, boolean leaderActive) {
        boolean granted = !leaderActive && request.term() > state.term() && isUpToDate(request);
        boolean nonMember = !state.membership().committed().contains(sender.name(), sender.incarnation())
                && state.log().commitIndex() > request.lastIndex();
        // A granted pre-vote has the requested term. A rejected one has this member's term, so that a candidate
        // that lags behind learns the term.
        long term = granted ? request.term() : state.term();
        state.outbox().send(sender.name(), new Message.VoteReply(term, granted, true, nonMember));
    }

    private void replyToVote(long now, Sender sender, Message.VoteRequest request) {
        if (request.term() > state.term()) {
            transitions.stepDown(now, request.term(), null);
        }
        boolean canVoteForCandidate =
                state.votedFor() == null || state.votedFor().equals(sender.name());
        boolean granted = request.term() == state.term() && isUpToDate(request) && canVoteForCandidate;
        if (granted) {
            state.voteFor(sender.name());
            resetTimer(now);
        }
        state.outbox().sendAfterSave(sender.name(), new Message.VoteReply(state.term(), granted, false, false));
    }

    private boolean isUpToDate(Message.VoteRequest candidate) {
        return state.log().isUpToDate(candidate.lastIndex(), candidate.lastTerm());
    }
}
