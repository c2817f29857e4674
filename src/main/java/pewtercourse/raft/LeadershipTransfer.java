package pewtercourse.raft;

/**
 * Transfers the leadership to another member (dissertation, 3.10). Once the target has the complete log, the leader
 * requests it to start an election at once. Meanwhile the leader accepts no proposals; the transfer is abandoned after
 * the longest election timeout.
 */
final class LeadershipTransfer {
    private final RaftState state;
    private final ProgressTracker tracker;
    private final LogReplicator replicator;
    private String target; // Null while no transfer is in progress.
    private long deadline;

    LeadershipTransfer(RaftState state, ProgressTracker tracker, LogReplicator replicator) {
        this.state = state;
        this.tracker = tracker;
        this.replicator = replicator;
    }

    boolean isInProgress() {
        return target != null;
    }

    boolean isTarget(String name) {
        return name.equals(target);
    }

    /** Whether a transfer to this member can start: it is another voter that has replied recently. */
    boolean isEligible(long now, String name) {
        Progress progress = tracker.get(name);
        return progress != null
                && tracker.isVoter(name, progress)
                && progress.isActive(now, state.settings().maxElectionTimeoutMicros());
    }

    void start(long now, String name) {
        target = name;
        deadline = now + state.settings().maxElectionTimeoutMicros();
        sendNext(now);
    }

    /**
     * Sends the target the request to start an election if its log is complete, otherwise the entries that it lacks.
     */
    void sendNext(long now) {
        Progress progress = tracker.get(target);
        if (progress.matchIndex() == state.log().lastIndex()) {
            state.outbox().send(target, new Message.TimeoutNow(state.term()));
        } else {
            replicator.sendEntries(now, target, progress);
        }
    }

    void cancelIfExpired(long now) {
        if (isInProgress() && now >= deadline) {
            target = null;
        }
    }

    void cancel() {
        target = null;
    }
}
