package pewtercourse.raft.store;

import pewtercourse.raft.Save;

/**
 * The state that Raft requires a member to persist besides its log.
 *
 * @param term the latest term that the member has seen
 * @param votedFor the candidate that the member voted for in this term; empty if it has not voted
 * @param commit the highest index known to be committed
 */
record HardState(long term, String votedFor, long commit) {
    static final HardState INITIAL = new HardState(0, "", 0);

    /** Returns the state after this save. The commit index never decreases. */
    HardState after(Save save) {
        return new HardState(
                save.term(), save.votedFor() == null ? "" : save.votedFor(), Math.max(commit, save.commit()));
    }

    /** Returns the state after a batch with these values was read. */
    HardState after(long newTerm, String newVotedFor, long newCommit) {
        return new HardState(newTerm, newVotedFor, Math.max(commit, newCommit));
    }

    /** The candidate, or null if there was no vote, in the form of {@link pewtercourse.raft.Saved#votedFor}. */
    String votedForOrNull() {
        return votedFor.isEmpty() ? null : votedFor;
    }
}
