package pewtercourse.raft;

/**
 * An entry of the log.
 *
 * @param index the position in the log; the first entry has index 1
 * @param term the term of the leader that appended the entry
 * @param kind which kind of content the entry has
 * @param command the command for the state machine; empty unless the kind is {@link Kind#COMMAND}
 * @param members the new membership; null unless the kind is {@link Kind#MEMBERS}
 */
public record Entry(long index, long term, Kind kind, byte[] command, Membership members) {
    private static final byte[] NO_COMMAND = {};
    private static final int HEADER_BYTES = 32;
    private static final int MEMBER_BYTES = 64;

    /** The kind of content of an entry. */
    public enum Kind {
        /** No content. A leader appends such an entry at the start of its term. */
        EMPTY,
        /** A command for the state machine. */
        COMMAND,
        /** The membership after a change. */
        MEMBERS
    }

    /** Returns the entry that a leader appends at the start of its term. */
    static Entry empty(long index, long term) {
        return new Entry(index, term, Kind.EMPTY, NO_COMMAND, null);
    }

    /** Returns an entry with a command for the state machine. */
    public static Entry command(long index, long term, byte[] command) {
        return new Entry(index, term, Kind.COMMAND, command, null);
    }

    /** Returns an entry with a new membership. */
    public static Entry members(long index, long term, Membership members) {
        return new Entry(index, term, Kind.MEMBERS, NO_COMMAND, members);
    }

    /** The approximate size of the entry in a message or on disk. */
    public int approximateBytes() {
        int memberCount = members == null ? 0 : members.all().size();
        return HEADER_BYTES + command.length + MEMBER_BYTES * memberCount;
    }
}
