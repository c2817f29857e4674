package pewtercourse.raft;

/**
 * The leader's view of another member's log, like etcd's Progress. While the leader probes, it sends one message with
 * entries at a time until it finds the index up to which the logs match. Then it sends up to
 * {@link RaftSettings.Replication#maxInFlight} messages before it waits for a reply.
 */
final class Progress {
    private static final long NO_SNAPSHOT = -1;

    private final long incarnation;
    private long nextIndex;
    private long matchIndex;
    private long matchSequence; // The last message that was sent before the match index was known.
    private long lastActiveAt;
    private long confirmedSequence;
    private long lastSentAt;
    private int inFlight; // Messages with entries that are not answered yet.
    private boolean probing = true;
    private boolean lostLog;
    private long snapshotOffset = NO_SNAPSHOT;
    private long snapshotIndex;

    Progress(long incarnation, long nextIndex, long lastActiveAt) {
        this.incarnation = incarnation;
        this.nextIndex = nextIndex;
        this.lastActiveAt = lastActiveAt;
    }

    // ---- Contact ----

    long incarnation() {
        return incarnation;
    }

    long lastActiveAt() {
        return lastActiveAt;
    }

    /** Whether the member has replied within the timeout. */
    boolean isActive(long now, long timeoutMicros) {
        return now - lastActiveAt <= timeoutMicros;
    }

    /** The member has replied to the message with this sequence number. */
    void onReply(long now, long sequence) {
        lastActiveAt = now;
        confirmedSequence = Math.max(confirmedSequence, sequence);
    }

    /** Whether the member has replied to the message with this sequence number or to a later one. */
    boolean hasConfirmed(long sequence) {
        return confirmedSequence >= sequence;
    }

    // ---- Log ----

    /** The index of the next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** The highest index up to which the member is known to have saved the leader's log. */
    long matchIndex() {
        return matchIndex;
    }

    /** Whether the member lacks entries that it has acknowledged as saved. */
    boolean lostLog() {
        return lostLog;
    }

    /** Whether another message with entries can be sent before the member replies. */
    boolean canSend(int maxInFlight) {
        return inFlight < (probing ? 1 : maxInFlight);
    }

    /**
     * A message with entries was sent; returns whether the entries after them may be sent before the member replies.
     */
    boolean onEntriesSent(long now, int entryCount) {
        inFlight++;
        lastSentAt = now;
        if (!probing) {
            nextIndex += entryCount;
        }
        return !probing;
    }

    /** Whether the reply to the last entries or snapshot chunk is overdue, so that the message may be lost. */
    boolean isReplyOverdue(long now, long timeoutMicros) {
        return now - lastSentAt >= timeoutMicros && (inFlight > 0 || isReceivingSnapshot());
    }

    /** Starts to probe, with the entry at this index as the next one to send. */
    void probeFrom(long index) {
        probing = true;
        inFlight = 0;
        nextIndex = index;
    }

    /**
     * The member's log matches up to {@code index}.
     *
     * @param sequence the sequence number of the last message that the leader has sent to any member
     */
    void onAccepted(long index, long sequence) {
        if (index > matchIndex) {
            setMatch(index, sequence);
            inFlight = matchIndex >= nextIndex - 1 ? 0 : Math.max(0, inFlight - 1);
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotOffset = NO_SNAPSHOT;
        probing = false;
    }

    /**
     * The member has rejected entries because the logs do not match before them.
     *
     * @param hintIndex the highest index at which the logs may match
     * @param requestSequence the sequence number of the rejected message
     */
    void onRejected(long hintIndex, long requestSequence) {
        if (requestSequence <= matchSequence) {
            return; // The rejected message was sent before the match index was known.
        }
        if (hintIndex < matchIndex) {
            lostLog = true;
        } else if (hintIndex + 1 < nextIndex) {
            probeFrom(hintIndex + 1);
        }
    }

    private void setMatch(long index, long sequence) {
        matchIndex = index;
        matchSequence = sequence;
    }

    // ---- Snapshot in flight ----

    boolean isReceivingSnapshot() {
        return snapshotOffset >= 0;
    }

    /** Whether the member is receiving the snapshot with this index. */
    boolean isReceivingSnapshot(long index) {
        return isReceivingSnapshot() && snapshotIndex == index;
    }

    /** The offset of the snapshot chunk that is sent next. */
    long snapshotOffset() {
        return snapshotOffset;
    }

    void startSnapshot(long index) {
        snapshotOffset = 0;
        snapshotIndex = index;
    }

    void onSnapshotChunkSent(long now) {
        lastSentAt = now;
    }

    void continueSnapshotFrom(long offset) {
        snapshotOffset = offset;
    }

    /** The member has saved the whole snapshot. */
    void onSnapshotInstalled(long index, long sequence) {
        snapshotOffset = NO_SNAPSHOT;
        setMatch(Math.max(matchIndex, index), sequence);
        probeFrom(Math.max(matchIndex + 1, nextIndex));
    }
}
