package pewtercourse.cluster;

import pewtercourse.raft.Raft;

/**
 * Hands everything over before a planned stop: waits until this member's leases are released, then transfers leadership.
 *
 * <p>Mutable state: when the transfer was begun. Event loop only.
 */
final class LeadershipHandover {
    private static final long NOT_BEGUN = -1;

    private final MemberEnvironment environment;
    private long transferBegunAt = NOT_BEGUN;

    LeadershipHandover(MemberEnvironment environment) {
        this.environment = environment;
    }

    /** A transfer may be begun (again). */
    void reset() {
        transferBegunAt = NOT_BEGUN;
    }

    /** Whether nothing is left to hand over, or nothing can be done about it. Begins what there is to do; asked again and again. */
    boolean complete(RaftDriver driver, boolean leasesReleased) {
        Raft raft = driver.raft();
        if (!leasesReleased) {
            return raft.leader() == null;
        }
        if (raft.role() != Raft.Role.LEADER) {
            return true;
        }
        String heir = transferBegunAt < 0 ? raft.heir(now()) : null;
        if (heir != null) {
            transferBegunAt = now();
            raft.transfer(transferBegunAt, heir);
            driver.drive();
        }
        // One that takes longer than any election has failed.
        return transferBegunAt < 0
                || now() - transferBegunAt > environment.config().raft().electionTo();
    }

    private long now() {
        return environment.clock().now();
    }
}
