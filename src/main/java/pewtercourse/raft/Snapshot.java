package pewtercourse.raft;

/**
 * The state machine after an entry, in place of the log up to there.
 *
 * @param index the last entry that it has applied
 * @param term that entry's term
 * @param members the membership as of that entry
 * @param state in the state machine's own form
 */
public record Snapshot(long index, long term, Membership members, byte[] state) {
    /** Of a member that has no log and knows of no group. */
    public static final Snapshot EMPTY = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);
}
