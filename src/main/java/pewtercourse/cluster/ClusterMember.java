package pewtercourse.cluster;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import pewtercourse.config.ClusterConfig;
import pewtercourse.failover.Sites;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandOutcome;
import pewtercourse.lease.LeaseRecord;
import pewtercourse.lease.RejectionReason;
import pewtercourse.raft.store.StoreException;

/**
 * This director as a member of a cluster, as the director and its operators see it. It puts the parts together and keeps
 * no state of its own: {@link MemberLifecycle} opens the data folder, {@link RaftDriver} runs Raft over it,
 * {@link LeaseDriver} and {@link SiteDriver} stand between the log and the director. Event loop only.
 */
public final class ClusterMember {
    static final String FOLDER_CLOSED = "the folder of this member can't be used: see the log";

    private final MemberEnvironment environment;
    private final ClusterConfig config;
    private final PendingProposals proposals;
    private final PendingReads reads;
    private final MaintenanceGrantWaiters grantWaiters;
    private final SiteDriver sites;
    private final LeaseDriver leases;
    private final LeadershipHandover handover;
    private final LeaderCommands leaderCommands;
    private final MemberLifecycle lifecycle;

    /** To be made on the event loop that it is to belong to. Nothing is opened before {@link #start}. */
    public ClusterMember(Vertx vertx, ClusterConfig config, ClusterHost host) {
        this.config = config;
        this.environment = MemberEnvironment.of(vertx, config);
        this.proposals = new PendingProposals(environment.timers(), new MemberLog());
        this.reads = new PendingReads(environment);
        this.grantWaiters = new MaintenanceGrantWaiters(environment.timers());
        ClusterChangeLogger changeLogger = new ClusterChangeLogger();
        this.sites = new SiteDriver(environment, host, changeLogger);
        this.leases = new LeaseDriver(
                environment,
                host,
                sites,
                new LeaseDriver.Subscribers(proposals, grantWaiters, changeLogger),
                this::openDriver);
        this.handover = new LeadershipHandover(environment);
        this.leaderCommands = new LeaderCommands(environment.clock(), this::openDriver);
        this.lifecycle = new MemberLifecycle(environment, leases, proposals, reads);
    }

    private Optional<RaftDriver> openDriver() {
        return lifecycle.driver();
    }

    /** The replicated log as this member's proposals see it. */
    private final class MemberLog implements PendingProposals.ReplicatedLog {
        @Override
        public boolean open() {
            return openDriver().isPresent();
        }

        @Override
        public Command.Envelope sign(Command command) {
            return leases.sign(command);
        }

        @Override
        public void offer(byte[] command, long id) {
            RaftDriver driver = openDriver().orElseThrow();
            driver.offer(command, id);
            driver.drive();
        }

        @Override
        public String whyNotCommitted() {
            return openDriver()
                    .map(driver -> driver.raft().leader())
                    .map(leader -> "not agreed in time by a majority; the leader is " + leader)
                    .orElse("no leader: a majority of the members is not reached");
        }
    }

    // ---- Lifecycle ----

    /** Fails with a {@link StoreException} where the data folder must not be used, or when the address can't be bound. */
    public Future<Void> start() {
        return lifecycle.start();
    }

    /** Nothing more is sent or written. What it holds should be handed over before: {@link #setEligible}. */
    public void close() {
        lifecycle.close();
    }

    /** Whether it takes leases; when not, it releases those that it holds, and leadership too. */
    public void setEligible(boolean eligible) {
        handover.reset();
        leases.setEligible(eligible);
    }

    /** Whether it holds no lease and does not lead, or can do nothing about it. */
    public boolean handoverComplete() {
        return openDriver()
                .map(driver -> handover.complete(driver, leases.released()))
                .orElse(true);
    }

    // ---- Commands ----

    /**
     * Has a command committed; it is made anew where another command on the same cache was committed first. Fails, with the
     * reason, when that is not known within 1.3 s: it may still be committed later, and proposing it again does no harm.
     */
    public Future<CommandOutcome> propose(Supplier<Command> command) {
        return proposals.propose(command);
    }

    /** Whether the maintenance budget grants that the cache is drained within what a caller waits. Never fails. */
    public Future<Boolean> awaitMaintenanceGrant(String target) {
        Future<Boolean> granted = grantWaiters.await(target);
        grantWaiters.granted(state().drainedCaches().keySet());
        return granted;
    }

    /** By an operator: a lease's holder is to release it to {@code to} or, if that is empty, to whoever is best. */
    public Future<CommandOutcome> transferLease(String lease, String to) {
        LeaseRecord record = state().lease(lease);
        if (record.holder().isEmpty()) {
            return Future.succeededFuture(CommandOutcome.rejected(RejectionReason.LEASE_NOT_HELD, lease));
        }
        if (!to.isEmpty() && !isMember(to)) {
            return Future.succeededFuture(CommandOutcome.rejected(RejectionReason.NOT_A_MEMBER, to));
        }
        return propose(() -> new Command.RequestTransfer(lease, record.token(), to));
    }

    private boolean isMember(String name) {
        return openDriver()
                .map(driver -> driver.raft().members().all().containsKey(name))
                .orElse(false);
    }

    /** By an operator at the leader: leadership goes to {@code to} or, if that is empty, to whoever lacks least of the log. */
    public LeaderCommandOutcome transferLeadership(String to) {
        return leaderCommands.transferLeadership(to);
    }

    /** By an operator at the leader: a new member, which first learns the log and then votes. */
    public LeaderCommandOutcome addMember(String name, String address) {
        return leaderCommands.addMember(name, address);
    }

    /** By an operator at the leader: the member belongs to the cluster no more. */
    public LeaderCommandOutcome removeMember(String name) {
        return leaderCommands.removeMember(name);
    }

    /** Sites as a new file describes them, from now on. */
    public void updateSites(Sites newSites) {
        sites.update(newSites);
        leases.updateSites();
    }

    // ---- State ----

    /** Whether this member's state is as new as the majority's; false when that is not known in time. Only a leader knows. */
    public Future<Boolean> confirmLeadership() {
        return openDriver().map(reads::confirm).orElseGet(() -> Future.succeededFuture(false));
    }

    /** What was committed and applied here, empty until the folder was first opened. */
    public ClusterState state() {
        return leases.state();
    }

    /** Whether caches are drained only as a maintenance budget grants it. */
    public boolean hasMaintenanceBudget() {
        return config.duties().maintenanceBudget() != null;
    }

    /** Whether a request beyond the maintenance budget is queued; else it is rejected. Only with a maintenance budget. */
    public boolean queuesMaintenanceRequests() {
        return config.duties().maintenanceBudget().queues();
    }

    /** Whether sites are configured and this is one of them. */
    public boolean knowsSite(String name) {
        return sites.sites() != null && sites.sites().byName().containsKey(name);
    }

    /** For operators, see {@link ClusterReport#sites}. Null where no sites are configured. */
    public JsonObject sitesStatus() {
        return sites.sites() == null ? null : report().sites(sites.sites());
    }

    /** For operators, by name. While its folder is not open only {@code cluster.open}, 0, and the disk's failures are known. */
    public Map<String, Long> metrics() {
        return report().metrics(environment.clock().now(), appliedIndex(), proposals.count(), lifecycle.diskFailures());
    }

    /** For operators: {@code confirmed}, whether a majority has just confirmed that nothing newer is committed. */
    public JsonObject status(boolean confirmed) {
        return report().status(environment.clock().now(), appliedIndex(), confirmed);
    }

    private long appliedIndex() {
        return openDriver().map(RaftDriver::appliedIndex).orElse(0L);
    }

    private ClusterReport report() {
        Optional<RaftDriver> driver = openDriver();
        return new ClusterReport(
                config,
                driver.map(RaftDriver::raft).orElse(null),
                leases.leaseManager().orElse(null),
                driver.map(RaftDriver::net).orElse(null));
    }
}
