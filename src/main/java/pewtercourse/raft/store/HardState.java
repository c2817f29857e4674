package pewtercourse.raft.store;

import pewtercourse.raft.Save;

/**
 * What a member must not forget besides its log, as Raft requires it.
 *
 * @param term the latest term that the member has seen
 * @param votedFor the member that got its vote in this term, or an empty string
 * @param commit the highest index known to be committed
 */
record HardState(long term, String votedFor, long commit) {
    static final HardState INITIAL = new HardState(0, "", 0);

    /** The state after this was saved: the commit index never goes back. */
    HardState after(Save save) {
        return new HardState(
                save.term(), save.votedFor() == null ? "" : save.votedFor(), Math.max(commit, save.commit()));
    }

    /** The state after a record with these values was read. */
    HardState after(long newTerm, String newVotedFor, long newCommit) {
        return new HardState(newTerm, newVotedFor, Math.max(commit, newCommit));
    }

    /** Null where there was no vote, as {@link pewtercourse.raft.Saved} has it. */
    String votedForOrNull() {
        return votedFor.isEmpty() ? null : votedFor;
    }
}
