package pewtercourse.cluster;

import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import pewtercourse.Log;
import pewtercourse.WallClock;
import pewtercourse.config.ClusterConfig;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.CommandOutcome;
import pewtercourse.lease.LeaseManager;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Raft;
import pewtercourse.raft.Snapshot;

/**
 * Connects the replicated log with this member's leases: applies committed entries, notifies the director and waiting
 * callers of the changes, and proposes the commands that are due for leases, sites and quota.
 *
 * <p>Mutable state: the lease manager of the data folder opened last, the drain revision published last to the
 * director, and whether this member acquires leases. Event loop only.
 */
final class LeaseDriver {
    private static final long NONE_PUBLISHED = -1;
    private static final double THOUSANDTHS = 1_000.0;

    /** The recipients, besides the director, of changes by committed entries. */
    record Subscribers(PendingProposals proposals, MaintenanceGrantWaiters grantWaiters, ClusterChangeLogger logger) {}

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final ClusterHost host;
    private final SiteDriver sites;
    private final Subscribers subscribers;
    private final Supplier<Optional<RaftDriver>> openDriver;
    private LeaseManager leaseManager; // Null until the data folder was first opened; kept for reads after it closed.
    private long publishedDrainRevision = NONE_PUBLISHED;
    private boolean eligible = true;

    /** {@code openDriver} supplies the driver of the open data folder; empty while none is open. */
    LeaseDriver(
            MemberEnvironment environment,
            ClusterHost host,
            SiteDriver sites,
            Subscribers subscribers,
            Supplier<Optional<RaftDriver>> openDriver) {
        this.environment = environment;
        this.config = environment.config();
        this.host = host;
        this.sites = sites;
        this.subscribers = subscribers;
        this.openDriver = openDriver;
    }

    /**
     * Starts with an empty state for a newly opened data folder; {@link #restore} and {@link #apply} add its content.
     */
    void open() {
        long firstCommandId = new SecureRandom().nextLong() >>> 16;
        leaseManager = new LeaseManager(
                config.duties(), config.name(), firstCommandId, host::ownZone, host::zoneOf, host::zoneSize);
        sites.configure(leaseManager);
        leaseManager.setEligible(eligible);
    }

    /** Returns the lease manager; empty until the data folder was first opened. */
    Optional<LeaseManager> leaseManager() {
        return Optional.ofNullable(leaseManager);
    }

    /** Returns the committed state as applied here; empty until the data folder was first opened. */
    ClusterState state() {
        return leaseManager == null ? new ClusterState() : leaseManager.state();
    }

    Command.Envelope sign(Command command) {
        return leaseManager.sign(command);
    }

    /** Sets whether this member acquires leases. An ineligible member releases the leases that it holds. */
    void setEligible(boolean eligible) {
        this.eligible = eligible;
        openDriver.get().ifPresent(driver -> {
            leaseManager.setEligible(eligible);
            driver.drive();
        });
    }

    /** Returns whether this member holds no lease. */
    boolean released() {
        return leaseManager.holdsNoLease();
    }

    /** Passes on a changed configuration of the sites. */
    void updateSites() {
        openDriver.get().ifPresent(driver -> {
            sites.configure(leaseManager);
            driver.drive();
        });
    }

    /** Resets the quota to the reserved part, which this member has without a grant. */
    void resetQuota() {
        host.setQuotaFactor(config.duties().reservedThousandths() / THOUSANDTHS);
    }

    private long now() {
        return environment.clock().now();
    }

    // ---- Committed entries ----

    void restore(Snapshot snapshot) throws InvalidProtocolBufferException {
        publishedDrainRevision = NONE_PUBLISHED;
        sites.republish();
        leaseManager.restore(now(), ClusterState.decode(snapshot.state()));
    }

    void apply(Entry entry) throws InvalidProtocolBufferException {
        Command.Envelope envelope = CommandCodec.decode(entry.command());
        CommandOutcome outcome = leaseManager.apply(now(), entry.index(), envelope);
        if (envelope.proposer().equals(config.name())) {
            subscribers.proposals().applied(envelope.id(), outcome);
        }
    }

    /** Publishes the changes by the entries just applied. {@code changed}: the replicated state may have changed. */
    void publish(Raft raft, boolean changed) {
        ClusterState state = leaseManager.state();
        sites.publish(state);
        if (changed && state.drainRevision() != publishedDrainRevision) {
            publishedDrainRevision = state.drainRevision();
            host.drainsChanged(state.drainedCaches(), state.reinstatedCaches());
            subscribers.grantWaiters().granted(state.drainedCaches().keySet());
        }
        subscribers.logger().write(raft, state);
    }

    // ---- Commands of this member ----

    /** Proposes the commands that are due. Returns whether a lease or quota command was proposed. */
    boolean proposeDue(RaftDriver driver) {
        long now = now();
        boolean hasProposed = false;
        for (Command.Envelope envelope : leaseManager.tick(now, view(driver.raft(), now))) {
            if (isLeaseHolderAction(envelope.command())) {
                Log.info("duty.act", "order", envelope.command(), "id", envelope.id());
            }
            driver.offer(CommandCodec.encode(envelope), envelope.id());
            hasProposed = true;
        }
        sites.reportObservations(now, leaseManager, driver);
        sites.makePlan(leaseManager, this::onPlanComputed);
        Optional<Command.Envelope> quotaRequest =
                leaseManager.requestQuota(now, Math.round(THOUSANDTHS * host.wantedQuota()));
        if (quotaRequest.isPresent()) {
            driver.offer(
                    CommandCodec.encode(quotaRequest.get()), quotaRequest.get().id());
            hasProposed = true;
        }
        host.setQuotaFactor(leaseManager.quotaThousandths(now) / THOUSANDTHS);
        return hasProposed;
    }

    private static LeaseManager.View view(Raft raft, long now) {
        Set<String> activeMembers = raft.role() == Raft.Role.LEADER ? raft.recentlyActive(now) : null;
        return new LeaseManager.View(raft.members().all().keySet(), activeMembers, WallClock.unixMillis());
    }

    // These commands are logged with their fencing token: the log must show which lease holder took each action.
    private static boolean isLeaseHolderAction(Command command) {
        return command instanceof Command.GrantMaintenance
                || command instanceof Command.GrantQuota
                || command instanceof Command.ReleaseQuota
                || command instanceof Command.CancelMaintenance
                || command instanceof Command.ChangeSiteStatus;
    }

    private void onPlanComputed(FailoverPlan plan) {
        openDriver.get().ifPresent(driver -> {
            leaseManager.planComputed(now(), plan);
            driver.drive();
        });
    }
}
