package pewtercourse.cluster;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import pewtercourse.cluster.LeaderCommandOutcome.Status;
import pewtercourse.raft.Raft;

/**
 * Carries out the commands that operators send to the leader: leadership transfers and membership changes. Stateless;
 * event loop only.
 */
final class LeaderCommands {
    private final MemberClock clock;
    private final Supplier<Optional<RaftDriver>> openDriver;

    /** {@code openDriver} supplies the driver of the open data folder; empty while none is open. */
    LeaderCommands(MemberClock clock, Supplier<Optional<RaftDriver>> openDriver) {
        this.clock = clock;
        this.openDriver = openDriver;
    }

    /**
     * Transfers leadership to {@code newLeader} or, if that is empty, to the member that lacks the fewest log entries.
     */
    LeaderCommandOutcome transferLeadership(String newLeader) {
        return carryOut(raft -> {
            String successor =
                    newLeader.isEmpty() ? raft.bestTransferCandidate(now()).orElse(null) : newLeader;
            return successor == null ? Raft.Rejection.INELIGIBLE_MEMBER : raft.transferLeadership(now(), successor);
        });
    }

    /** Adds a member, which first copies the log and then becomes a voter. */
    LeaderCommandOutcome addMember(String name, String address) {
        boolean isMember = openDriver
                .get()
                .map(driver -> driver.raft().members().all().containsKey(name))
                .orElse(false);
        return carryOut(raft -> isMember
                ? Raft.Rejection.INELIGIBLE_MEMBER
                : raft.addMember(now(), name, address, 0).rejection());
    }

    LeaderCommandOutcome removeMember(String name) {
        return carryOut(raft -> raft.removeMember(now(), name).rejection());
    }

    private LeaderCommandOutcome carryOut(Function<Raft, Raft.Rejection> command) {
        return openDriver
                .get()
                .map(driver -> carryOut(driver, command))
                .orElseGet(() -> new LeaderCommandOutcome(Status.FOLDER_CLOSED, ""));
    }

    private LeaderCommandOutcome carryOut(RaftDriver driver, Function<Raft, Raft.Rejection> command) {
        Raft raft = driver.raft();
        raft.tick(now()); // Advances the clock first: after a pause of the process this member may no longer lead.
        Raft.Rejection rejection = command.apply(raft);
        driver.drive();
        String leader = raft.leader() == null ? "" : raft.leader();
        return new LeaderCommandOutcome(rejection == null ? Status.ACCEPTED : status(rejection), leader);
    }

    private static Status status(Raft.Rejection rejection) {
        return switch (rejection) {
            case NOT_LEADER -> Status.NOT_LEADER;
            case MEMBERSHIP_CHANGE_PENDING -> Status.CHANGE_IN_PROGRESS;
            case TRANSFERRING -> Status.TRANSFER_IN_PROGRESS;
            case BUSY -> Status.BUSY;
            case INELIGIBLE_MEMBER -> Status.NOT_POSSIBLE;
        };
    }

    private long now() {
        return clock.now();
    }
}
