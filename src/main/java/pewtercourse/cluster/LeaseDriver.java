package pewtercourse.cluster;

import com.google.protobuf.InvalidProtocolBufferException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import pewtercourse.Log;
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
 * Between the replicated log and this member's leases: applies what was committed, tells the director and those who wait
 * what changed by it, and offers the commands that leases, sites and quota call for.
 *
 * <p>Mutable state: the lease manager of the folder opened last, which version of the drains the director was told last, and
 * whether this member takes leases. Event loop only.
 */
final class LeaseDriver {
    private static final long NONE_PUBLISHED = -1;
    private static final double THOUSANDTHS = 1_000.0;

    /** Who is told of what was committed, besides the director. */
    record Subscribers(PendingProposals proposals, MaintenanceGrantWaiters grantWaiters, ClusterChangeLogger logger) {}

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final ClusterHost host;
    private final SiteDriver sites;
    private final Subscribers subscribers;
    private final Supplier<Optional<RaftDriver>> openDriver;
    private LeaseManager leaseManager; // Null until the folder was first opened; kept for reading after it was closed.
    private long publishedDrains = NONE_PUBLISHED;
    private boolean eligible = true;

    /** {@code openDriver}: the driver of the open folder, empty while there is none. */
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

    /** Begins with an empty state for a folder that was just opened; what the folder holds comes by {@link #restore}. */
    void open() {
        long firstCommandId = new SecureRandom().nextLong() >>> 16;
        leaseManager = new LeaseManager(config.duties(), config.name(), firstCommandId, host::zoneOf, host::zoneSize);
        sites.configure(leaseManager);
        leaseManager.setEligible(eligible);
    }

    /** Empty until the folder was first opened. */
    Optional<LeaseManager> leaseManager() {
        return Optional.ofNullable(leaseManager);
    }

    /** What was committed and applied, empty until the folder was first opened. */
    ClusterState state() {
        return leaseManager == null ? new ClusterState() : leaseManager.state();
    }

    Command.Envelope sign(Command command) {
        return leaseManager.sign(command);
    }

    /** Whether this member takes leases; when not, it releases those it holds. */
    void setEligible(boolean eligible) {
        this.eligible = eligible;
        openDriver.get().ifPresent(driver -> {
            leaseManager.setEligible(eligible);
            driver.drive();
        });
    }

    /** Whether this member holds no lease. */
    boolean released() {
        return leaseManager.holdsNoLease();
    }

    /** The sites' configuration has changed. */
    void updateSites() {
        openDriver.get().ifPresent(driver -> {
            sites.configure(leaseManager);
            driver.drive();
        });
    }

    /** Back to the quota that this member has without any grant. */
    void resetQuota() {
        host.setQuotaFactor(config.duties().reservedThousandths() / THOUSANDTHS);
    }

    private long now() {
        return environment.clock().now();
    }

    // ---- Committed entries ----

    void restore(Snapshot snapshot) throws InvalidProtocolBufferException {
        publishedDrains = NONE_PUBLISHED;
        sites.republish();
        leaseManager.restore(now(), ClusterState.decode(snapshot.state()));
    }

    void apply(Entry entry) throws InvalidProtocolBufferException {
        Command.Envelope envelope = CommandCodec.decode(entry.command());
        CommandOutcome result = leaseManager.apply(now(), entry.index(), envelope);
        if (envelope.proposer().equals(config.name())) {
            subscribers.proposals().applied(envelope.id(), result);
        }
    }

    /** Tells of what the entries just applied have changed; {@code changed}: whether there were any. */
    void publish(Raft raft, boolean changed) {
        ClusterState state = leaseManager.state();
        sites.publish(state);
        if (changed && state.drainRevision() != publishedDrains) {
            publishedDrains = state.drainRevision();
            host.drainsChanged(state.drainedCaches(), state.reinstatedCaches());
            subscribers.grantWaiters().granted(state.drainedCaches().keySet());
        }
        subscribers.logger().write(raft, state);
    }

    // ---- Commands of this member ----

    /** Offers what is due now. True if any of it waits to be committed. */
    boolean proposeDue(RaftDriver driver) {
        long now = now();
        boolean offered = false;
        for (Command.Envelope envelope : leaseManager.tick(now, view(driver.raft(), now))) {
            if (isLeaseHolderAction(envelope.command())) {
                Log.info("duty.act", "order", envelope.command(), "id", envelope.id());
            }
            driver.offer(CommandCodec.encode(envelope), envelope.id());
            offered = true;
        }
        sites.reportObservations(now, leaseManager, driver);
        sites.makePlan(leaseManager, this::planned);
        Optional<Command.Envelope> quotaRequest =
                leaseManager.requestQuota(now, Math.round(THOUSANDTHS * host.wantedQuota()));
        if (quotaRequest.isPresent()) {
            driver.offer(
                    CommandCodec.encode(quotaRequest.get()), quotaRequest.get().id());
            offered = true;
        }
        host.setQuotaFactor(leaseManager.quotaThousandths(now) / THOUSANDTHS);
        return offered;
    }

    private static LeaseManager.View view(Raft raft, long now) {
        Set<String> active = raft.role() == Raft.Role.LEADER ? raft.heard(now) : null;
        return new LeaseManager.View(raft.members().all().keySet(), active, System.currentTimeMillis());
    }

    // These are logged, with their token, so that it can be checked afterwards who acted as the holder of a lease.
    private static boolean isLeaseHolderAction(Command command) {
        return command instanceof Command.GrantMaintenance
                || command instanceof Command.GrantQuota
                || command instanceof Command.ReleaseQuota
                || command instanceof Command.CancelMaintenance
                || command instanceof Command.ChangeSiteStatus;
    }

    private void planned(FailoverPlan plan) {
        openDriver.get().ifPresent(driver -> {
            leaseManager.planComputed(now(), plan);
            driver.drive();
        });
    }
}
