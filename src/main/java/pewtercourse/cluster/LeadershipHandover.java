package pewtercourse.cluster;

import pewtercourse.raft.Raft;

/**
 * Hands over before a planned stop: waits until this member's leases are released, then transfers leadership.
 *
 * <p>Mutable state: the start time of the transfer. Event loop only.
 */
final class LeadershipHandover {
    private static final long NOT_STARTED = -1;

    private final MemberEnvironment environment;
    private long transferStartedAt = NOT_STARTED;

    LeadershipHandover(MemberEnvironment environment) {
        this.environment = environment;
    }

    /** Allows a new transfer of leadership to start. */
    void reset() {
        transferStartedAt = NOT_STARTED;
    }

    /**
     * Returns whether nothing is left to hand over, or what remains can't be handed over. Starts the transfer of
     * leadership when it is due; called repeatedly until it returns true.
     */
    boolean complete(RaftDriver driver, boolean leasesReleased) {
        Raft raft = driver.raft();
        if (!leasesReleased) {
            return raft.leader() == null;
        }
        if (raft.role() != Raft.Role.LEADER) {
            return true;
        }
        String successor =
                transferStartedAt < 0 ? raft.bestTransferCandidate(now()).orElse(null) : null;
        if (successor != null) {
            transferStartedAt = now();
            raft.transferLeadership(transferStartedAt, successor);
            driver.drive();
        }
        // A transfer that takes longer than the maximum election timeout has failed.
        return transferStartedAt < 0
                || now() - transferStartedAt > environment.config().raft().maxElectionTimeoutMicros();
    }

    private long now() {
        return environment.clock().now();
    }
}
