package pewtercourse.raft;

import java.util.List;

/**
 * What has to be on disk before the messages that rely on it go out; {@link Raft} holds those back until
 * {@link Raft#saved}.
 *
 * @param number counts saves
 * @param term the current term
 * @param votedFor for whom this member voted in it; null: nobody
 * @param commit the commit index; a member that starts alone goes by it
 * @param snapshot replaces all up to its index, and comes before the entries; null: none
 * @param entries replace those from the first one's index on
 */
public record Save(long number, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
