package pewtercourse.raft;

/** The changes of role that the classes of this package can request; {@link Raft} implements them. */
interface RoleTransitions {
    /**
     * Makes this member a follower in its current term or in {@code term}, whichever is higher.
     *
     * @param leader the leader of the term; null if it is not known
     */
    void stepDown(long now, long term, String leader);

    /** Makes this member a follower of the leader of the current term, from which it has received a message. */
    void followLeader(long now, String leader);

    /**
     * Makes this member a candidate without a known leader.
     *
     * @param candidacy {@link Raft.Role#PRE_CANDIDATE} or {@link Raft.Role#CANDIDATE}
     */
    void becomeCandidate(Raft.Role candidacy);

    /** Makes this member the leader of its term, after a majority has voted for it. */
    void becomeLeader(long now);
}
