package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import pewtercourse.failover.FailoverState;
import pewtercourse.lease.wire.LeaseWire;

/**
 * The replicated state machine. It reads no clock and draws no random numbers, so that all members reach the same state
 * by the same commands. It decides by fencing tokens and log entries alone; the leader judges by its own clock whether
 * a lease has expired ({@link LeaseWatch}). Each concern has its own table, and this class passes each command to the
 * table that applies it. Confined to the thread that applies the log.
 */
public final class ClusterState {
    private final LeaseTable leases = new LeaseTable();
    private final MemberTable members = new MemberTable();
    private final DrainTable drains = new DrainTable();
    private final MaintenanceTable maintenance = new MaintenanceTable(leases, drains);
    private final QuotaTable quota = new QuotaTable(leases);
    private final SiteCommands sites = new SiteCommands(leases);

    /**
     * Applies the command of a log entry.
     *
     * @param index index of the entry, which also is the number of the request or grant that the command creates
     */
    public CommandOutcome apply(long index, Command.Envelope envelope) {
        return envelope.command().accept(new CommandApplier(index, envelope.proposer()));
    }

    /** The lease of this name; its token is 0 if it was never assigned. */
    public LeaseRecord lease(String name) {
        return leases.get(name);
    }

    /** All leases that were ever assigned, by name. */
    public SortedMap<String, LeaseRecord> leases() {
        return leases.byName();
    }

    /** The drained caches, each with the time at which it was drained, in Unix milliseconds. */
    public Map<String, Long> drainedCaches() {
        return drains.drained();
    }

    /** The caches that were reinstated, each with the time at which that happened, in Unix milliseconds. */
    public Map<String, Long> reinstatedCaches() {
        return drains.reinstated();
    }

    /** How often {@link #drainedCaches} and {@link #reinstatedCaches} have changed since this object was created. */
    public long drainRevision() {
        return drains.revision();
    }

    /** The entry of the last operator command on a cache; 0 if there was none, or if its record was evicted. */
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

    /** The quota grants in force, by the log entry that made them. */
    public SortedMap<Long, QuotaGrant> quotaGrants() {
        return quota.grants();
    }

    /** The zone whose caches a member serves; "" if it has none or has not told it. */
    public String quotaZoneOf(String member) {
        return quota.zoneOf(member);
    }

    /** Total quota that is granted now, in thousandths of one director's share. */
    public long grantedQuotaThousandths() {
        return quota.grantedThousandths();
    }

    /** The agreed state of the sites. */
    public FailoverState failover() {
        return sites.failover();
    }

    /** Members that do not take leases at present. */
    public Set<String> ineligibleMembers() {
        return members.ineligible();
    }

    /** Members that the leader has not heard from for a long time. */
    public Set<String> absentMembers() {
        return members.absent();
    }

    /** Encodes this state as a snapshot in its stored form. */
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
     * Decodes a snapshot. An empty array gives the initial state.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a snapshot, or are a snapshot of a later version
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

    /** Applies the command of one log entry to the table that it changes. */
    private final class CommandApplier implements Command.Visitor<CommandOutcome> {
        private final long entry;
        private final String proposer;

        CommandApplier(long entry, String proposer) {
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
            // Each member passes the report to its own failure detector; this state keeps nothing of it.
            return CommandOutcome.APPLIED;
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
