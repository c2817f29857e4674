package pewtercourse.raft;

/** Who belongs to the group by this member's log, and whether this member itself still does. */
final class MembershipState {
    private final RaftLog log;
    private final String self;
    private final long incarnation;
    private Membership latest;
    private long latestIndex; // Of the entry, or the snapshot, that has it.
    private boolean reportedNonMember;

    MembershipState(RaftLog log, String self, long incarnation) {
        this.log = log;
        this.self = self;
        this.incarnation = incarnation;
        reload();
    }

    /** The log has changed. A membership counts from when it is in the log, committed or not (dissertation, 4.1). */
    void reload() {
        latestIndex = log.membershipIndex(log.lastIndex());
        latest = log.membersAt(log.lastIndex());
    }

    /** As of the log's end. */
    Membership latest() {
        return latest;
    }

    /** As of what this member knows to be committed. */
    Membership committed() {
        return isChangePending() ? log.membersAt(log.commitIndex()) : latest;
    }

    /** Whether the last change is not committed yet. */
    boolean isChangePending() {
        return latestIndex > log.commitIndex();
    }

    boolean isSelfVoter() {
        return latest.isVoter(self, incarnation);
    }

    /** Whether a member has a vote both by what is committed and by the log's end, for the same incarnation. */
    boolean isCommittedVoter(String name) {
        Membership.Member member = latest.all().get(name);
        return member != null && member.voter() && committed().isVoter(name, member.incarnation());
    }

    /** Whether this member was removed, by its own log or by what another member told. */
    boolean isNonMember() {
        return reportedNonMember
                || !isChangePending() && !latest.all().isEmpty() && !latest.contains(self, incarnation);
    }

    /** Another member has told that this one is none by what it knows to be committed. */
    void reportNonMember() {
        reportedNonMember = true;
    }

    /** A leader has sent something, or this member was elected: what was reported before is out of date. */
    void clearReport() {
        reportedNonMember = false;
    }
}
