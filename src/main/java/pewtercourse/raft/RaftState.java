package pewtercourse.raft;

/**
 * The state of a server in the Raft paper, shared by the classes of all roles: name, term, vote, role, log and
 * membership, and the outbox of saves and messages.
 */
final class RaftState {
    private final RaftSettings settings;
    private final String self;
    private final RaftLog log;
    private final MembershipState membership;
    private final Outbox outbox;
    private long term;
    private String votedFor; // Null while this member has not voted in the term.
    private Raft.Role role = Raft.Role.FOLLOWER;
    private String leader; // Null while no leader is known.

    RaftState(RaftSettings settings, String self, Saved saved) {
        this.settings = settings;
        this.self = self;
        this.log = new RaftLog(saved.snapshot(), saved.entries(), saved.commit());
        this.membership = new MembershipState(log, self, saved.incarnation());
        this.outbox = new Outbox(log);
        this.term = saved.term();
        this.votedFor = saved.votedFor();
    }

    RaftSettings settings() {
        return settings;
    }

    String self() {
        return self;
    }

    RaftLog log() {
        return log;
    }

    MembershipState membership() {
        return membership;
    }

    /** The membership at the end of the log, which decides what a majority is. */
    Membership members() {
        return membership.latest();
    }

    Outbox outbox() {
        return outbox;
    }

    long term() {
        return term;
    }

    /** The candidate that this member voted for in the current term; null if it has not voted. */
    String votedFor() {
        return votedFor;
    }

    Raft.Role role() {
        return role;
    }

    boolean isLeader() {
        return role == Raft.Role.LEADER;
    }

    /** The leader of the current term; null while it is not known. */
    String leader() {
        return leader;
    }

    /**
     * Adopts the term of another member if it is higher than the current one. The term is saved before any message that
     * depends on it is sent.
     */
    void adoptTerm(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            outbox.onHardStateChanged();
        }
    }

    /** Votes for the candidate in the current term. The vote is saved before the reply is sent. */
    void voteFor(String candidate) {
        if (votedFor == null) {
            votedFor = candidate;
            outbox.onHardStateChanged();
        }
    }

    /** Starts the next term and votes for this member itself. */
    void startTermWithVoteForSelf() {
        term++;
        votedFor = self;
        outbox.onHardStateChanged();
    }

    void setRole(Raft.Role newRole, String newLeader) {
        role = newRole;
        leader = newLeader;
    }

    /** Appends an entry to the log; the next save contains it. */
    void append(Entry entry) {
        log.append(entry);
        outbox.onAppended(entry.index());
        if (entry.kind() == Entry.Kind.MEMBERS) {
            membership.reload();
        }
    }

    /** Removes the entries from this index on, which conflict with those of the current leader. */
    void truncate(long fromIndex) {
        log.truncate(fromIndex);
        outbox.onTruncated(fromIndex);
        membership.reload();
    }

    /** Replaces the whole log by a snapshot of the leader. */
    void reset(Snapshot snapshot) {
        log.reset(snapshot);
        outbox.onLogReplaced(snapshot);
        membership.reload();
    }
}
