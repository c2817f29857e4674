package pewtercourse.raft;

/**
 * One entry of the log. {@code kind} says which of the last two is there: {@code command} for the state machine,
 * {@code members} for a change of the membership, neither for the empty entry with which a leader begins its term.
 */
public record Entry(long index, long term, Kind kind, byte[] command, Membership members) {
    /** What an entry holds: nothing, as at the start of a term, a command, or a set of members. */
    public enum Kind {
        EMPTY,
        COMMAND,
        MEMBERS
    }

    private static final byte[] NOTHING = {};

    static Entry empty(long index, long term) {
        return new Entry(index, term, Kind.EMPTY, NOTHING, null);
    }

    public static Entry command(long index, long term, byte[] command) {
        return new Entry(index, term, Kind.COMMAND, command, null);
    }

    public static Entry members(long index, long term, Membership members) {
        return new Entry(index, term, Kind.MEMBERS, NOTHING, members);
    }

    /** What it takes in a message or on disk, in bytes, within a few. */
    public int size() {
        return 32 + command.length + (members == null ? 0 : 64 * members.all().size());
    }
}
