package pewtercourse.raft;

import java.util.List;

/**
 * State that has to be written to disk. {@link Raft} defers the messages that depend on it until {@link Raft#saved} is
 * called with its number.
 *
 * @param number the number of this save; numbers are consecutive
 * @param term the current term
 * @param votedFor the candidate that this member voted for in the term; null if it has not voted
 * @param commit the commit index; after a restart the member starts from it before it has contact with the others
 * @param snapshot replaces the whole stored log and is written before the entries; null if there is none
 * @param entries replace all stored entries from the index of the first one on
 */
public record Save(long number, long term, String votedFor, long commit, Snapshot snapshot, List<Entry> entries) {}
