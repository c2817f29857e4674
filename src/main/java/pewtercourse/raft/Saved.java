package pewtercourse.raft;

import java.util.List;

/**
 * What a member finds in its folder: the term, for whom it voted in it (or null), what it knew to be agreed,
 * the snapshot and the log after it.
 */
public record Saved(
        long incarnation, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
