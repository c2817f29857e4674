package pewtercourse.raft;

/** The membership in this member's log, and whether this member is still part of it. */
final class MembershipState {
    private final RaftLog log;
    private final String self;
    private final long incarnation;
    private Membership latest;
    private long latestIndex; // The index of the entry or snapshot that contains the latest membership.
    private boolean reportedNonMember;

    MembershipState(RaftLog log, String self, long incarnation) {
        this.log = log;
        this.self = self;
        this.incarnation = incarnation;
        reload();
    }

    /**
     * Reads the latest membership again after a change of the log. A membership is effective as soon as it is in the
     * log, committed or not (dissertation, 4.1).
     */
    void reload() {
        latestIndex = log.membershipIndex(log.lastIndex());
        latest = log.membersAt(log.lastIndex());
    }

    /** The membership at the end of the log. */
    Membership latest() {
        return latest;
    }

    /** The membership at the commit index that this member knows. */
    Membership committed() {
        return isChangePending() ? log.membersAt(log.commitIndex()) : latest;
    }

    /** Whether the last membership change is not committed yet. */
    boolean isChangePending() {
        return latestIndex > log.commitIndex();
    }

    boolean isSelfVoter() {
        return latest.isVoter(self, incarnation);
    }

    /** Whether the member is a voter, with the same incarnation, in both the committed and the latest membership. */
    boolean isCommittedVoter(String name) {
        Membership.Member member = latest.all().get(name);
        return member != null && member.voter() && committed().isVoter(name, member.incarnation());
    }

    /** Whether this member was removed, according to its own log or to a report of another member. */
    boolean isNonMember() {
        return reportedNonMember
                || !isChangePending() && !latest.all().isEmpty() && !latest.contains(self, incarnation);
    }

    /** Another member has reported that its committed membership does not contain this member. */
    void reportNonMember() {
        reportedNonMember = true;
    }

    /**
     * Forgets an earlier report. A message of a leader, or the election of this member, shows that it is outdated.
     */
    void clearNonMemberReport() {
        reportedNonMember = false;
    }
}
