package pewtercourse.raft;

import java.util.List;

/**
 * What has to be on disk before the messages that rely on it go out; {@code Raft} holds those back until it is told.
 * Entries replace those from the first one's index on. {@code snapshot}, if not null, replaces all up to its index and
 * comes before the entries. {@code commit}: what is known to be agreed; a member that starts alone goes by it.
 */
public record Save(long seq, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
