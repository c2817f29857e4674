package pewtercourse.raft;

/**
 * The transfer of leadership to another member (dissertation, 3.10). The leader takes nothing in meanwhile, for one
 * election timeout at most; once the target has the whole log it is told to stand for election at once.
 */
final class LeadershipTransfer {
    private final RaftState state;
    private final ProgressTracker tracker;
    private final LogReplicator replicator;
    private String target; // Null: none is under way.
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

    /** Whether a transfer to this member can start: it is another voter, and answered of late. */
    boolean isEligible(long now, String name) {
        Progress member = tracker.get(name);
        return member != null
                && tracker.isVoter(name, member)
                && member.isActive(now, state.settings().maxElectionTimeoutMicros());
    }

    void start(long now, String name) {
        target = name;
        deadline = now + state.settings().maxElectionTimeoutMicros();
        proceed(now);
    }

    /** The target may have caught up. */
    void proceed(long now) {
        Progress member = tracker.get(target);
        if (member.matchIndex() == state.log().lastIndex()) {
            state.outbox().send(target, new Message.TimeoutNow(state.term()));
        } else {
            replicator.sendEntries(now, target, member);
        }
    }

    void expire(long now) {
        if (isInProgress() && now >= deadline) {
            target = null;
        }
    }

    void cancel() {
        target = null;
    }
}
