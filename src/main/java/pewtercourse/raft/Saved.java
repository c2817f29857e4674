package pewtercourse.raft;

import java.util.List;

/**
 * What a member finds in its data folder.
 *
 * @param incarnation of the folder, see {@link Membership}
 * @param term the last term that it was in
 * @param votedFor for whom it voted in that term; null: nobody
 * @param commit the commit index as of the last save
 * @param snapshot the last one, {@link Snapshot#EMPTY} if there is none
 * @param entries those after the snapshot
 */
public record Saved(
        long incarnation, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
