package pewtercourse.raft;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Elections, by both sides: the timer that starts one, the candidate's requests and count of votes, and this member's
 * own vote. A pre-vote comes first (dissertation, 9.6), so that a member that was cut off doesn't raise the term of the
 * others when it comes back.
 */
final class Election {
    /** How a candidacy starts. */
    enum Campaign {
        /** Asks whether it could win, and changes nothing. */
        PRE_VOTE,
        /** After a majority has said so in the pre-vote. */
        ELECTION,
        /** By the wish of the leader, so that a living leader is no reason to reject it. */
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

    // ---- Timer ----

    /** When this member stands for election unless a leader sends something before. */
    long timeoutAt() {
        return timeoutAt;
    }

    void resetTimer(long now) {
        RaftSettings settings = state.settings();
        long spread = settings.maxElectionTimeoutMicros() - settings.minElectionTimeoutMicros();
        timeoutAt = now + settings.minElectionTimeoutMicros() + (long) (random.nextDouble() * spread);
    }

    void leaderContact(long now) {
        lastLeaderContact = now;
        resetTimer(now);
    }

    // ---- The candidate ----

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
            state.startOwnTerm();
        }
        if (state.members().isQuorum(votes)) {
            won(now, preVote);
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
        if (!answersThisCampaign(reply)
                || !reply.granted()
                || !state.members().isVoter(sender.name(), sender.incarnation())) {
            return;
        }
        votes.add(sender.name());
        if (state.members().isQuorum(votes)) {
            won(now, reply.preVote());
        }
    }

    private boolean answersThisCampaign(Message.VoteReply reply) {
        return reply.preVote()
                ? state.role() == Raft.Role.PRE_CANDIDATE && reply.term() == state.term() + 1
                : state.role() == Raft.Role.CANDIDATE && reply.term() == state.term();
    }

    private void won(long now, boolean preVote) {
        if (preVote) {
            campaign(now, Campaign.ELECTION);
        } else {
            transitions.becomeLeader(now);
        }
    }

    // ---- The voter ----

    /** {@code leads}: whether this member leads and a majority has answered it of late. */
    void receive(long now, Sender sender, Message.VoteRequest request, boolean leads) {
        // A member that no longer hears its leader must not unseat one that the others hear (dissertation, 4.2.3).
        boolean leaderAlive =
                leads || now - lastLeaderContact < state.settings().minElectionTimeoutMicros();
        if (request.preVote()) {
            replyToPreVote(sender, request, leaderAlive);
        } else if (!leaderAlive || request.transfer()) {
            vote(now, sender, request);
        }
    }

    private void replyToPreVote(Sender sender, Message.VoteRequest request, boolean leaderAlive) {
        boolean granted = !leaderAlive && request.term() > state.term() && isUpToDate(request);
        boolean nonMember = !state.membership().committed().contains(sender.name(), sender.incarnation())
                && state.log().commitIndex() > request.lastIndex();
        // A granted vote has the term that was asked for, a rejected one this member's, so that a late asker learns it.
        long term = granted ? request.term() : state.term();
        state.outbox().send(sender.name(), new Message.VoteReply(term, granted, true, nonMember));
    }

    private void vote(long now, Sender sender, Message.VoteRequest request) {
        if (request.term() > state.term()) {
            transitions.stepDown(now, request.term(), null);
        }
        boolean voteFree = state.votedFor() == null || state.votedFor().equals(sender.name());
        boolean granted = request.term() == state.term() && isUpToDate(request) && voteFree;
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
