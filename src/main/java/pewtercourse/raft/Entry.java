package pewtercourse.raft;

/**
 * One entry of the log.
 *
 * @param index its place in the log, from 1
 * @param term of the leader that appended it
 * @param kind which of the following it has
 * @param command for the state machine, empty in other kinds
 * @param members the new membership, null in other kinds
 */
public record Entry(long index, long term, Kind kind, byte[] command, Membership members) {
    private static final byte[] NO_COMMAND = {};
    private static final int HEADER_BYTES = 32;
    private static final int MEMBER_BYTES = 64;

    /** What an entry holds. */
    public enum Kind {
        /** Nothing, as at the start of a term. */
        EMPTY,
        /** A command for the state machine. */
        COMMAND,
        /** A change of the membership. */
        MEMBERS
    }

    /** With which a leader begins its term. */
    static Entry empty(long index, long term) {
        return new Entry(index, term, Kind.EMPTY, NO_COMMAND, null);
    }

    /** A command for the state machine. */
    public static Entry command(long index, long term, byte[] command) {
        return new Entry(index, term, Kind.COMMAND, command, null);
    }

    /** A change of the membership. */
    public static Entry members(long index, long term, Membership members) {
        return new Entry(index, term, Kind.MEMBERS, NO_COMMAND, members);
    }

    /** About how many bytes it takes in a message or on disk. */
    public int size() {
        int members = this.members == null ? 0 : this.members.all().size();
        return HEADER_BYTES + command.length + MEMBER_BYTES * members;
    }
}
