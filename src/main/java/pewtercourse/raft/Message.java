package pewtercourse.raft;

import java.util.List;

/**
 * A message between members. The component {@code term} is the sender's current term, except in pre-vote requests and
 * granted pre-votes, where it is the term that follows the candidate's.
 */
public sealed interface Message {
    /** The sender's term or, in a pre-vote, the term that the candidate would start. */
    long term();

    /** Calls the method of the handler for this type of message. */
    void dispatch(Handler handler);

    /** Whether the message shows that {@link #term} has started, so that a receiver in a lower term has to adopt it. */
    default boolean provesTerm() {
        return true;
    }

    /** Whether only the leader of {@link #term} sends this type of message. */
    default boolean isFromLeader() {
        return false;
    }

    /** Receives messages: one method for each type. */
    interface Handler {
        /** Handles a candidate's request for a vote. */
        void receive(VoteRequest request);

        /** Handles a voter's reply. */
        void receive(VoteReply reply);

        /** Handles entries or a heartbeat of the leader. */
        void receive(AppendRequest request);

        /** Handles a follower's reply to entries or a heartbeat. */
        void receive(AppendReply reply);

        /** Handles a chunk of the leader's snapshot. */
        void receive(SnapshotChunk chunk);

        /** Handles a follower's reply to a snapshot chunk. */
        void receive(SnapshotReply reply);

        /** Handles the leader's request to start an election at once. */
        void receive(TimeoutNow request);
    }

    /**
     * A candidate's request for a vote.
     *
     * @param lastIndex the index of the last entry of the candidate's log
     * @param lastTerm the term of that entry
     * @param preVote whether this is a pre-vote, which only asks whether the candidate could win an election
     * @param transfer whether a leadership transfer has started the election, so that voters accept the request
     *     although they have an active leader
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer) implements Message {
        /** The voter decides whether to adopt the term: a candidate must not depose an active leader. */
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
     * The reply to a {@link VoteRequest}.
     *
     * @param preVote whether this is the reply to a pre-vote
     * @param nonMember whether the committed membership that the voter knows lacks the candidate
     */
    record VoteReply(long term, boolean granted, boolean preVote, boolean nonMember) implements Message {
        /** A granted pre-vote has the requested term, which no member has started yet. */
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
     * Entries of the leader; a heartbeat has none.
     *
     * @param prevIndex the index of the entry before the first of {@code entries}
     * @param prevTerm the term of that entry
     * @param commit the leader's commit index
     * @param sequence the leader's sequence number of this message, which the reply returns; the leader confirms reads
     *     by it
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
     * The reply to an {@link AppendRequest}.
     *
     * @param index if accepted, the index up to which the logs are known to match; if rejected, the highest index at
     *     which they may match
     * @param sequence the sequence number of the request
     */
    record AppendReply(long term, boolean accepted, long index, long sequence) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /**
     * A chunk of the leader's snapshot.
     *
     * @param lastIndex the index of the last entry that the snapshot contains
     * @param lastTerm the term of that entry
     * @param members the membership at that entry
     * @param offset the offset of {@code data} in the snapshot, in bytes
     * @param data the bytes of this chunk
     * @param totalBytes the size of the complete snapshot
     * @param sequence as in {@link AppendRequest}
     */
    record SnapshotChunk(
            long term,
            long lastIndex,
            long lastTerm,
            Membership members,
            long offset,
            byte[] data,
            long totalBytes,
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
     * The reply to a {@link SnapshotChunk}.
     *
     * @param lastIndex the index of the last entry that the snapshot contains
     * @param nextOffset the offset of the first missing byte; the size of the snapshot once all of it is saved
     * @param sequence the sequence number of the chunk
     */
    record SnapshotReply(long term, long lastIndex, long nextOffset, long sequence) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }

    /** The leader's request that the receiver starts an election at once; it transfers the leadership. */
    record TimeoutNow(long term) implements Message {
        @Override
        public void dispatch(Handler handler) {
            handler.receive(this);
        }
    }
}
