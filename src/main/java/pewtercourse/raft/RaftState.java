package pewtercourse.raft;

/**
 * The state of a server by the Raft paper, which elections, leader and follower share: who it is, its term and vote, its
 * role, its log and membership, and the outbox for what has to be saved and sent.
 */
final class RaftState {
    private final RaftSettings settings;
    private final String self;
    private final RaftLog log;
    private final MembershipState membership;
    private final Outbox outbox;
    private long term;
    private String votedFor; // Null: nobody in this term.
    private Raft.Role role = Raft.Role.FOLLOWER;
    private String leader; // Null: not known.

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

    /** The membership as of the log's end, by which votes are counted. */
    Membership members() {
        return membership.latest();
    }

    Outbox outbox() {
        return outbox;
    }

    long term() {
        return term;
    }

    /** Null while it has voted for nobody in this term. */
    String votedFor() {
        return votedFor;
    }

    Raft.Role role() {
        return role;
    }

    boolean isLeader() {
        return role == Raft.Role.LEADER;
    }

    /** Null while none is known. */
    String leader() {
        return leader;
    }

    /** Another member is in this term: it is saved before anything is said in it. No effect unless it is higher. */
    void adoptTerm(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            outbox.stateChanged();
        }
    }

    /** The vote of this term; it is saved before the answer goes out. */
    void voteFor(String candidate) {
        if (votedFor == null) {
            votedFor = candidate;
            outbox.stateChanged();
        }
    }

    /** The next term begins, with this member's vote for itself. */
    void startOwnTerm() {
        term++;
        votedFor = self;
        outbox.stateChanged();
    }

    void setRole(Raft.Role newRole, String newLeader) {
        role = newRole;
        leader = newLeader;
    }

    /** Appends to the log; it is saved with the next save. */
    void append(Entry entry) {
        log.append(entry);
        outbox.appended(entry.index());
        if (entry.kind() == Entry.Kind.MEMBERS) {
            membership.reload();
        }
    }

    /** Removes this entry and all behind it, which another leader's entries replace. */
    void truncate(long from) {
        log.truncate(from);
        outbox.truncated(from);
        membership.reload();
    }

    /** The snapshot replaces the whole log. */
    void reset(Snapshot snapshot) {
        log.reset(snapshot);
        outbox.replaced(snapshot);
        membership.reload();
    }
}
