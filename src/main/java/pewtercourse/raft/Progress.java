package pewtercourse.raft;

/** What a leader knows of another member. */
final class Progress {
    static final long NO_SNAPSHOT = -1;

    final long incarnation;
    long next, match, heardAt, confirmed, sentAt, matchSeq;
    int out; // Messages with entries since the last answer.
    boolean probing = true, regressed;
    long partAt = NO_SNAPSHOT, partIndex; // Of the snapshot that is on its way.

    Progress(long incarnation, long next, long now) {
        this.incarnation = incarnation;
        this.next = next;
        this.heardAt = now;
    }
}
