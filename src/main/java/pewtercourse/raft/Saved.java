package pewtercourse.raft;

import java.util.List;

/**
 * The state that a member recovers from its data folder.
 *
 * @param incarnation the incarnation of the folder, see {@link Membership}
 * @param term the last saved term
 * @param votedFor the candidate that the member voted for in that term; null if it did not vote
 * @param commit the last saved commit index
 * @param snapshot the last snapshot, {@link Snapshot#EMPTY} if there is none
 * @param entries the entries after the snapshot
 */
public record Saved(
        long incarnation, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
