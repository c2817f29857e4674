package pewtercourse.raft;

/**
 * A snapshot of the state machine, which replaces all entries of the log up to its index.
 *
 * @param index the index of the last entry that the state contains
 * @param term the term of that entry
 * @param members the membership at that entry
 * @param state the encoded state of the state machine
 */
public record Snapshot(long index, long term, Membership members, byte[] state) {
    /** The snapshot of a member that has an empty log and no membership yet. */
    public static final Snapshot EMPTY = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);
}
