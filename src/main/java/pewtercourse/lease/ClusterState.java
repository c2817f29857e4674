package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import pewtercourse.failover.FailoverState;
import pewtercourse.lease.wire.LeaseWire;

/**
 * The replicated state machine: equal at all members after the same commands, since it reads no clock and draws no
 * random numbers. Whether a lease has expired is judged by those who wait for it ({@link LeaseWatch}); here only fencing
 * tokens and log entries decide. Each concern keeps its own table; this class hands each command to the table that
 * applies it. Confined to the thread that applies the log.
 */
public final class ClusterState {
    private final LeaseTable leases = new LeaseTable();
    private final MemberTable members = new MemberTable();
    private final DrainTable drains = new DrainTable();
    private final MaintenanceTable maintenance = new MaintenanceTable(leases, drains);
    private final QuotaTable quota = new QuotaTable(leases);
    private final SiteCommands sites = new SiteCommands(leases);

    /** Applies the command of the log entry {@code index}, which also numbers what the command creates. */
    public CommandOutcome apply(long index, Command.Envelope envelope) {
        return envelope.command().accept(new Application(index, envelope.proposer()));
    }

    /** The lease of this name; with token 0 if it was never assigned. */
    public LeaseRecord lease(String name) {
        return leases.get(name);
    }

    /** All leases that were ever assigned, by name. */
    public SortedMap<String, LeaseRecord> leases() {
        return leases.all();
    }

    /** Drained caches, and since when in Unix milliseconds. */
    public Map<String, Long> drainedCaches() {
        return drains.drained();
    }

    /** Caches that were drained and reinstated, and when in Unix milliseconds. */
    public Map<String, Long> reinstatedCaches() {
        return drains.reinstated();
    }

    /** Changes of {@link #drainedCaches} and {@link #reinstatedCaches} since this object was made. */
    public long drainRevision() {
        return drains.revision();
    }

    /** The entry of the last operator command on a cache, 0 where none is known any more. */
    public long lastOperatorCommand(String target) {
        return drains.lastCommand(target);
    }

    /** The open maintenance requests by number, in the order in which they were made. */
    public SortedMap<Long, MaintenanceRequest> maintenanceRequests() {
        return maintenance.requests();
    }

    /** The open maintenance request for a cache. */
    public Optional<MaintenanceRequest> maintenanceRequestFor(String target) {
        return maintenance.requestFor(target);
    }

    /** The open quota requests, by member. */
    public Map<String, QuotaRequest> quotaRequests() {
        return quota.requests();
    }

    /** The quota grants in force, by the entry that made them. */
    public SortedMap<Long, QuotaGrant> quotaGrants() {
        return quota.grants();
    }

    /** Quota that is granted now, in thousandths of one director's share. */
    public long grantedQuotaThousandths() {
        return quota.grantedThousandths();
    }

    /** What is agreed on the sites. */
    public FailoverState failover() {
        return sites.failover();
    }

    /** Members that take no leases for now. */
    public Set<String> ineligibleMembers() {
        return members.ineligible();
    }

    /** Members that the leader has not heard for long. */
    public Set<String> absentMembers() {
        return members.absent();
    }

    /** The snapshot of this state, in its stored form. */
    public byte[] encode() {
        LeaseWire.Snapshot.Builder snapshot = LeaseWire.Snapshot.newBuilder();
        leases.writeTo(snapshot);
        members.writeTo(snapshot);
        drains.writeTo(snapshot);
        maintenance.writeTo(snapshot);
        quota.writeTo(snapshot);
        sites.writeTo(snapshot);
        return snapshot.build().toByteArray();
    }

    /**
     * Reads a snapshot; one of no bytes is the initial state.
     *
     * @throws InvalidProtocolBufferException if the bytes are no snapshot, or one of a later version
     */
    public static ClusterState decode(byte[] bytes) throws InvalidProtocolBufferException {
        LeaseWire.Snapshot snapshot = LeaseWire.Snapshot.parseFrom(bytes);
        ClusterState state = new ClusterState();
        state.leases.readFrom(snapshot);
        state.members.readFrom(snapshot);
        state.drains.readFrom(snapshot);
        state.maintenance.readFrom(snapshot);
        state.quota.readFrom(snapshot);
        state.sites.readFrom(snapshot);
        return state;
    }

    /** One command of one entry, on its way to the table that it changes. */
    private final class Application implements Command.Visitor<CommandOutcome> {
        private final long entry;
        private final String proposer;

        Application(long entry, String proposer) {
            this.entry = entry;
            this.proposer = proposer;
        }

        @Override
        public CommandOutcome assignLease(Command.AssignLease command) {
            return leases.assign(command);
        }

        @Override
        public CommandOutcome renewLease(Command.RenewLease command) {
            return leases.renew(proposer, command);
        }

        @Override
        public CommandOutcome releaseLease(Command.ReleaseLease command) {
            return leases.release(proposer, command);
        }

        @Override
        public CommandOutcome requestTransfer(Command.RequestTransfer command) {
            return leases.requestTransfer(command);
        }

        @Override
        public CommandOutcome reportAbsence(Command.ReportAbsence command) {
            return members.reportAbsence(command);
        }

        @Override
        public CommandOutcome drainCache(Command.DrainCache command) {
            return drains.applyInOrder(
                    entry,
                    command.target(),
                    command.expectedEntry(),
                    () -> drains.drain(command.target(), command.atUnixMs()));
        }

        @Override
        public CommandOutcome reinstateCache(Command.ReinstateCache command) {
            return drains.applyInOrder(entry, command.target(), command.expectedEntry(), () -> {
                maintenance.removeRequestsFor(command.target());
                return drains.reinstate(command.target(), command.atUnixMs());
            });
        }

        @Override
        public CommandOutcome requestMaintenance(Command.RequestMaintenance command) {
            return drains.applyInOrder(
                    entry,
                    command.target(),
                    command.expectedEntry(),
                    () -> maintenance.request(entry, proposer, command));
        }

        @Override
        public CommandOutcome grantMaintenance(Command.GrantMaintenance command) {
            return maintenance.grant(command);
        }

        @Override
        public CommandOutcome cancelMaintenance(Command.CancelMaintenance command) {
            return maintenance.cancel(proposer, command);
        }

        @Override
        public CommandOutcome requestQuota(Command.RequestQuota command) {
            return quota.request(entry, proposer, command);
        }

        @Override
        public CommandOutcome grantQuota(Command.GrantQuota command) {
            return quota.grant(entry, command);
        }

        @Override
        public CommandOutcome releaseQuota(Command.ReleaseQuota command) {
            return quota.release(command);
        }

        @Override
        public CommandOutcome setEligibility(Command.SetEligibility command) {
            return members.setEligibility(proposer, command.eligible());
        }

        @Override
        public CommandOutcome reportSiteObservation(Command.ReportSiteObservation command) {
            return CommandOutcome.APPLIED; // Members judge by it; nothing of it is kept here.
        }

        @Override
        public CommandOutcome changeSiteStatus(Command.ChangeSiteStatus command) {
            return sites.changeStatus(entry, command);
        }

        @Override
        public CommandOutcome publishFailoverPlan(Command.PublishFailoverPlan command) {
            return sites.publishPlan(command);
        }

        @Override
        public CommandOutcome pauseSiteRecovery(Command.PauseSiteRecovery command) {
            return sites.pauseRecovery(entry, command);
        }

        @Override
        public CommandOutcome startFailoverDrill(Command.StartFailoverDrill command) {
            return sites.startDrill(entry, command);
        }
    }
}
