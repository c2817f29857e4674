package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import pewtercourse.failover.FailoverState;
import pewtercourse.lease.wire.LeaseWire;

/** Applies the commands on sites to the agreed {@link FailoverState}, which it owns. */
final class SiteCommands {
    private final LeaseTable leases;
    private final FailoverState failover = new FailoverState();

    SiteCommands(LeaseTable leases) {
        this.leases = leases;
    }

    FailoverState failover() {
        return failover;
    }

    CommandOutcome changeStatus(long entry, Command.ChangeSiteStatus command) {
        if (!leases.isCurrent(LeaseNames.SITES, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        boolean changed = failover.changeStatus(entry, command.change());
        return changed ? CommandOutcome.APPLIED : CommandOutcome.rejected(RejectionReason.SITE_STATUS_CHANGED);
    }

    CommandOutcome publishPlan(Command.PublishFailoverPlan command) {
        if (!leases.isCurrent(LeaseNames.SITES, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        failover.setPlan(command.plan());
        return CommandOutcome.APPLIED;
    }

    CommandOutcome pauseRecovery(long entry, Command.PauseSiteRecovery command) {
        return appliedOrSuperseded(failover.setHeld(entry, command.site(), command.paused(), command.expectedEntry()));
    }

    CommandOutcome startDrill(long entry, Command.StartFailoverDrill command) {
        return appliedOrSuperseded(failover.startDrill(entry, command.site(), command.expectedEntry()));
    }

    private static CommandOutcome appliedOrSuperseded(boolean changed) {
        return changed ? CommandOutcome.APPLIED : CommandOutcome.rejected(RejectionReason.SUPERSEDED);
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        FailoverCodec.encode(failover, snapshot);
    }

    void readFrom(LeaseWire.Snapshot snapshot) throws InvalidProtocolBufferException {
        FailoverCodec.decode(snapshot, failover);
    }
}
