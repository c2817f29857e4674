package pewtercourse.raft;

import java.util.List;

/** What members send to one another. {@code term} is the sender's, but in a pre-vote, which names the next one. */
public sealed interface Message {
    /** The sender's term, or that which a pre-vote asks for. */
    long term();

    /** Calls the handler's method for this type of message. */
    void dispatch(Handler handler);

    /** Whether the sender is in {@link #term}, so that a member in a lower one has to adopt it. */
    default boolean provesTerm() {
        return true;
    }

    /** Whether only the leader of {@link #term} sends it. */
    default boolean isFromLeader() {
        return false;
    }

    /** One method for each type of message. */
    interface Handler {
        /** A candidate asks for a vote. */
        void receive(VoteRequest request);

        /** A voter's answer. */
        void receive(VoteReply reply);

        /** The leader's entries, or its heartbeat. */
        void receive(AppendRequest request);

        /** A follower's answer to entries or a heartbeat. */
        void receive(AppendReply reply);

        /** A part of the leader's snapshot. */
        void receive(SnapshotChunk chunk);

        /** A follower's answer to a part of the snapshot. */
        void receive(SnapshotReply reply);

        /** The leader transfers its leadership. */
        void receive(TimeoutNow request);
    }

    /**
     * A candidate asks for a vote.
     *
     * @param lastIndex the last entry of the candidate's log
     * @param lastTerm that entry's term
     * @param preVote only asks whether it could win
     * @param transfer the leader wishes it, so a living leader is no reason to reject it
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer) implements Message {
        /** Whether its term counts is for the voter to decide: a candidate must not unseat a living leader. */
        @Override
        public boolean provesTerm() {
            return false;
        }

        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * The answer to a {@link VoteRequest}.
     *
     * @param nonMember the candidate is no member by what the voter knows to be committed
     */
    record VoteReply(long term, boolean granted, boolean preVote, boolean nonMember) implements Message {
        /** A granted pre-vote has the term that was asked for, in which nobody is yet. */
        @Override
        public boolean provesTerm() {
            return !(preVote && granted);
        }

        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * Entries from the leader; none in a heartbeat.
     *
     * @param prevIndex the entry before the first of these
     * @param prevTerm that entry's term
     * @param commit the leader's commit index
     * @param sequence counts the leader's messages and comes back with the answer: it confirms reads
     */
    record AppendRequest(long term, long prevIndex, long prevTerm, List<Entry> entries, long commit, long sequence)
            implements Message {
        @Override
        public boolean isFromLeader() {
            return true;
        }

        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * The answer to an {@link AppendRequest}.
     *
     * @param index where accepted, the last entry known to equal the leader's; else the last one that could
     */
    record AppendReply(long term, boolean accepted, long index, long sequence) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * A part of the leader's snapshot.
     *
     * @param lastIndex the last entry that the snapshot stands for
     * @param lastTerm that entry's term
     * @param members as of that entry
     * @param offset of the part's first byte in the snapshot
     * @param total bytes of the whole snapshot
     */
    record SnapshotChunk(
            long term,
            long lastIndex,
            long lastTerm,
            Membership members,
            long offset,
            byte[] part,
            long total,
            long sequence)
            implements Message {
        @Override
        public boolean isFromLeader() {
            return true;
        }

        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * The answer to a {@link SnapshotChunk}.
     *
     * @param nextOffset the first byte that is missing; the total once the whole snapshot is saved
     */
    record SnapshotReply(long term, long lastIndex, long nextOffset, long sequence) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /** The leader transfers its leadership: the receiver stands for election at once. */
    record TimeoutNow(long term) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }
}
