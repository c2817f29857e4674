package pewtercourse.raft;

/**
 * What a leader knows of another member's log, as etcd's Progress. While it probes, one message at a time finds where
 * the logs meet; then up to {@link RaftSettings.Replication#maxInFlight} are sent ahead of their answers.
 */
final class Progress {
    private static final long NO_SNAPSHOT = -1;

    private final long incarnation;
    private long nextIndex;
    private long matchIndex;
    private long matchSequence; // Later messages meet a member that has saved up to the match index.
    private long lastActive;
    private long confirmedSequence;
    private long lastSent;
    private int inFlight; // Messages with entries since the last answer.
    private boolean probing = true;
    private boolean lostLog;
    private long snapshotOffset = NO_SNAPSHOT;
    private long snapshotIndex;

    Progress(long incarnation, long nextIndex, long lastActive) {
        this.incarnation = incarnation;
        this.nextIndex = nextIndex;
        this.lastActive = lastActive;
    }

    // ---- Contact ----

    long incarnation() {
        return incarnation;
    }

    long lastActive() {
        return lastActive;
    }

    boolean isActive(long now, long timeout) {
        return now - lastActive <= timeout;
    }

    /** The member answered the message with this sequence number. */
    void answered(long now, long sequence) {
        lastActive = now;
        confirmedSequence = Math.max(confirmedSequence, sequence);
    }

    boolean hasConfirmed(long sequence) {
        return confirmedSequence >= sequence;
    }

    // ---- Its log ----

    /** The next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** The last entry that the member has saved for certain. */
    long matchIndex() {
        return matchIndex;
    }

    /** The member lacks entries that it had said it had saved. */
    boolean lostLog() {
        return lostLog;
    }

    boolean maySend(int maxInFlight) {
        return inFlight < (probing ? 1 : maxInFlight);
    }

    /** True if the following entries may go out before this message is answered. */
    boolean sentEntries(long now, int count) {
        inFlight++;
        lastSent = now;
        if (!probing) {
            nextIndex += count;
        }
        return !probing;
    }

    /** Entries or a part of a snapshot are out, and nothing was sent since {@code timeout}: they may be lost. */
    boolean isSendOverdue(long now, long timeout) {
        return now - lastSent >= timeout && (inFlight > 0 || isReceivingSnapshot());
    }

    void probeFrom(long index) {
        probing = true;
        inFlight = 0;
        nextIndex = index;
    }

    /** {@code sequence}: of the last message that was sent to anyone. */
    void accepted(long index, long sequence) {
        if (index > matchIndex) {
            match(index, sequence);
            inFlight = matchIndex >= nextIndex - 1 ? 0 : Math.max(0, inFlight - 1);
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotOffset = NO_SNAPSHOT;
        probing = false;
    }

    /** {@code hint}: the last entry that could be equal; {@code answered}: the message that this answers. */
    void rejected(long hint, long answered) {
        if (answered <= matchSequence) {
            return; // Sent before the member saved what it has.
        }
        if (hint < matchIndex) {
            lostLog = true;
        } else if (hint + 1 < nextIndex) {
            probeFrom(hint + 1);
        }
    }

    private void match(long index, long sequence) {
        matchIndex = index;
        matchSequence = sequence;
    }

    // ---- The snapshot on its way to it ----

    boolean isReceivingSnapshot() {
        return snapshotOffset >= 0;
    }

    boolean isReceivingSnapshot(long index) {
        return isReceivingSnapshot() && snapshotIndex == index;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    void startSnapshot(long index) {
        snapshotOffset = 0;
        snapshotIndex = index;
    }

    void sentSnapshotPart(long now) {
        lastSent = now;
    }

    void continueSnapshot(long offset) {
        snapshotOffset = offset;
    }

    void installedSnapshot(long index, long sequence) {
        snapshotOffset = NO_SNAPSHOT;
        match(Math.max(matchIndex, index), sequence);
        probeFrom(Math.max(matchIndex + 1, nextIndex));
    }
}
