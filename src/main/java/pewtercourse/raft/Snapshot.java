package pewtercourse.raft;

/** The state machine after {@code index}, in its own form, and the membership then. */
public record Snapshot(long index, long term, Membership members, byte[] state) {
    public static final Snapshot NOTHING = new Snapshot(0, 0, Membership.NONE, new byte[0]);
}
