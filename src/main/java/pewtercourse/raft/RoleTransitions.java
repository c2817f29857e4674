package pewtercourse.raft;

/** The changes of role that elections, leader and follower can bring about; {@link Raft} carries them out. */
interface RoleTransitions {
    /** Becomes a follower in this term, or in its own one if that is not lower. {@code leader}: null if not known. */
    void stepDown(long now, long term, String leader);

    /** The leader of this member's term has sent something. */
    void followLeader(long now, String leader);

    /** This member stands for election: it leads no longer, and follows nobody. */
    void becomeCandidate(Raft.Role candidacy);

    /** A majority has voted for this member in its term. */
    void becomeLeader(long now);
}
