package pewtercourse.cluster;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import pewtercourse.cluster.LeaderCommandOutcome.Status;
import pewtercourse.raft.Raft;

/**
 * What operators ask of the leader: a transfer of leadership, and changes of the membership. Stateless; event loop only.
 */
final class LeaderCommands {
    private final MemberClock clock;
    private final Supplier<Optional<RaftDriver>> openDriver;

    /** {@code openDriver}: the driver of the open folder, empty while there is none. */
    LeaderCommands(MemberClock clock, Supplier<Optional<RaftDriver>> openDriver) {
        this.clock = clock;
        this.openDriver = openDriver;
    }

    /** Leadership goes to {@code to} or, if that is empty, to the member that lacks least of the log. */
    LeaderCommandOutcome transferLeadership(String to) {
        return carryOut(raft -> {
            String heir = to.isEmpty() ? raft.heir(now()) : to;
            return heir == null ? Raft.Refusal.UNFIT : raft.transfer(now(), heir);
        });
    }

    /** Adds a member, which first learns the log and then votes. */
    LeaderCommandOutcome addMember(String name, String address) {
        boolean present = openDriver
                .get()
                .map(driver -> driver.raft().members().all().containsKey(name))
                .orElse(false);
        return carryOut(raft -> present
                ? Raft.Refusal.UNFIT
                : raft.addMember(now(), name, address, 0).refusal());
    }

    LeaderCommandOutcome removeMember(String name) {
        return carryOut(raft -> raft.removeMember(now(), name).refusal());
    }

    private LeaderCommandOutcome carryOut(Function<Raft, Raft.Refusal> command) {
        return openDriver
                .get()
                .map(driver -> carryOut(driver, command))
                .orElseGet(() -> new LeaderCommandOutcome(Status.FOLDER_CLOSED, ""));
    }

    private LeaderCommandOutcome carryOut(RaftDriver driver, Function<Raft, Raft.Refusal> command) {
        Raft raft = driver.raft();
        raft.tick(now()); // Time first: after a pause of the process it may not lead any more.
        Raft.Refusal refusal = command.apply(raft);
        driver.drive();
        String leader = raft.leader() == null ? "" : raft.leader();
        return new LeaderCommandOutcome(refusal == null ? Status.ACCEPTED : status(refusal), leader);
    }

    private static Status status(Raft.Refusal refusal) {
        return switch (refusal) {
            case NOT_LEADER -> Status.NOT_LEADER;
            case CHANGING -> Status.CHANGE_IN_PROGRESS;
            case HANDING_ON -> Status.TRANSFER_IN_PROGRESS;
            case BUSY -> Status.BUSY;
            case UNFIT -> Status.NOT_POSSIBLE;
        };
    }

    private long now() {
        return clock.now();
    }
}
