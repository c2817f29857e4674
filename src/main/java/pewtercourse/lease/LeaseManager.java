package pewtercourse.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongBinaryOperator;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;

/**
 * One member's part in the leases. It takes in agreed commands in the order of the log, and returns commands for the
 * members to agree on. It uses no sockets and no clock: {@code now} is microseconds of the member's own monotonic
 * clock. Proposed commands may be lost, and are then proposed again. Confined to the thread that applies the log.
 */
public final class LeaseManager {
    /**
     * What a member knows of the cluster at a tick.
     *
     * @param active members that answered recently; null if this member does not lead
     * @param unixMs current time in Unix milliseconds, for times that operators read
     */
    public record View(Set<String> members, Set<String> active, long unixMs) {}

    private final LeaseSettings settings;
    private final String member;
    private final CommandSigner signer;
    private final LeaseWatch watch = new LeaseWatch();
    private final LeaseAssigner assigner;
    private final MaintenanceScheduler maintenance;
    private final QuotaAllocator quotaAllocator;
    private final SiteOrders sites = new SiteOrders();
    private final OwnLeases ownLeases;
    private final OwnQuota ownQuota;
    private ClusterState state = new ClusterState();
    private LongBinaryOperator validityStart = (proposedAt, appliedAt) -> proposedAt;
    private boolean eligible = true;
    private long eligibilityRetryAt = Long.MIN_VALUE;
    private long orderCount;

    /**
     * Creates the manager of a member that holds no lease and has applied no command.
     *
     * @param firstId  number of its first command; drawn at random, so that the numbers of two runs do not overlap
     * @param ownZone  gives the zone whose caches this member serves, or "" if it has none
     * @param zoneOf   gives the zone of a cache, or "" if the zone is unknown
     * @param zoneSize gives the number of caches listed in a zone
     */
    public LeaseManager(
            LeaseSettings settings,
            String member,
            long firstId,
            Supplier<String> ownZone,
            Function<String, String> zoneOf,
            ToIntFunction<String> zoneSize) {
        this.settings = settings;
        this.member = member;
        this.signer = new CommandSigner(member, firstId);
        this.assigner = new LeaseAssigner(settings);
        this.maintenance = new MaintenanceScheduler(settings, zoneOf, zoneSize);
        this.quotaAllocator = new QuotaAllocator(settings);
        this.ownLeases = new OwnLeases(settings, member, signer);
        this.ownQuota = new OwnQuota(settings, member, signer, ownZone);
    }

    /** Replaces the configured sites. */
    public void configureSites(long now, Sites configured) {
        sites.configure(now, configured, state);
    }

    /** Returns the command that reports what this member has recently observed of each site. */
    public Command.Envelope reportObservations(Map<String, SiteObservation> observations) {
        return signer.sign(new Command.ReportSiteObservation(observations));
    }

    /**
     * Returns the input for computing a failover plan; empty if no plan is due, or if this member does not hold the
     * sites lease.
     */
    public Optional<FailoverPlanRequest> planInput(long now) {
        return validToken(LeaseNames.SITES, now) == 0 ? Optional.empty() : sites.planInput(now, state);
    }

    /** Takes the failover plan that was computed from the last {@link #planInput}. */
    public void planComputed(long now, FailoverPlan plan) {
        sites.planComputed(now, plan);
    }

    /** The load of each site, that is the concurrent transfers that its clients ask for, as last reported. */
    public Map<String, Double> siteLoads() {
        return sites.loads();
    }

    /**
     * Counts leases and quota grants from another time than that of the proposal. Unsafe: use it only for baselines,
     * and to show that invariant checks fail.
     *
     * @param validityStart gives the start of the validity, from the times at which the command was proposed and
     *                      applied
     */
    public void countValidityFrom(LongBinaryOperator validityStart) {
        this.validityStart = validityStart;
    }

    /** The replicated state as this member has applied it. */
    public ClusterState state() {
        return state;
    }

    /** Replaces the state with that of a snapshot. */
    public void restore(long now, ClusterState snapshot) {
        state = snapshot;
        ownQuota.reset();
        onStateChanged(now);
    }

    /** Applies the command of the next log entry. */
    public CommandOutcome apply(long now, long index, Command.Envelope envelope) {
        CommandOutcome outcome = state.apply(index, envelope);
        if (outcome.isApplied()) {
            envelope.command().accept(new AppliedCommandHandler(now, index, envelope));
        }
        onStateChanged(now);
        return outcome;
    }

    private void onStateChanged(long now) {
        watch.onStateChanged(now, state);
        maintenance.onStateChanged(now, state);
        quotaAllocator.onStateChanged(now, state);
        sites.onStateChanged(now, state);
        ownLeases.onStateChanged(state);
        ownQuota.onStateChanged(state);
    }

    /** The fencing token with which this member may act by a lease at this moment, or 0. */
    public long validToken(String lease, long now) {
        return ownLeases.validToken(lease, now);
    }

    /** Microseconds until this member's lease ends; 0 if the lease has ended, or if this member does not hold it. */
    public long remainingMicros(String lease, long now) {
        return ownLeases.remainingMicros(lease, now);
    }

    /** Whether this member holds no lease, so that none is left to hand over. */
    public boolean holdsNoLease() {
        return ownLeases.isEmpty();
    }

    /** Number of orders that this member has given as a lease holder since it started. */
    public long orderCount() {
        return orderCount;
    }

    /**
     * Sets whether this member takes leases. It does not while it drains or is on standby; then it also releases the
     * leases that it holds.
     */
    public void setEligible(boolean eligible) {
        this.eligible = eligible;
        eligibilityRetryAt = Long.MIN_VALUE;
    }

    /** Wraps a command with the name of this member and the next command number. */
    public Command.Envelope sign(Command command) {
        return signer.sign(command);
    }

    /** This director's quota now, in thousandths of its share; 1,000 if quota is not divided. */
    public long quotaThousandths(long now) {
        return ownQuota.thousandths(now);
    }

    /**
     * Returns the request for this many thousandths more; empty if there is nothing to request, or if the last request
     * is more recent than the retry interval.
     */
    public Optional<Command.Envelope> requestQuota(long now, long thousandths) {
        return ownQuota.request(now, thousandths, state);
    }

    /** Returns the commands to propose now. Called every few milliseconds, and after commands were applied. */
    public List<Command.Envelope> tick(long now, View view) {
        List<Command.Envelope> proposals = new ArrayList<>();
        proposeEligibility(now, proposals);
        if (view.active() == null) {
            assigner.reset();
        } else {
            assigner.orders(now, state, watch, view.members(), view.active())
                    .forEach(command -> proposals.add(sign(command)));
        }
        ownLeases.propose(now, state, eligible, proposals::add);
        proposeOrders(now, view, proposals);
        return proposals;
    }

    private void proposeEligibility(long now, List<Command.Envelope> proposals) {
        boolean isAgreedEligible = !state.ineligibleMembers().contains(member);
        if (eligible != isAgreedEligible && now >= eligibilityRetryAt) {
            eligibilityRetryAt = now + settings.retryMicros();
            proposals.add(sign(new Command.SetEligibility(eligible)));
        }
    }

    // The tokens are read right before the orders, because the process may have been suspended for a long time
    // since the last tick.
    private void proposeOrders(long now, View view, List<Command.Envelope> proposals) {
        List<Command> orders = new ArrayList<>();
        long maintenanceToken = validToken(LeaseNames.MAINTENANCE, now);
        if (maintenanceToken != 0 && settings.maintenanceBudget() != null) {
            orders.addAll(maintenance.orders(now, view.unixMs(), maintenanceToken, state));
        }
        long quotaToken = validToken(LeaseNames.QUOTA, now);
        if (quotaToken != 0 && settings.quotaPolicy() != null) {
            orders.addAll(quotaAllocator.orders(now, quotaToken, state, view.members()));
        }
        long sitesToken = validToken(LeaseNames.SITES, now);
        if (sitesToken != 0) {
            orders.addAll(sites.orders(now, sitesToken, state, view.members()));
        }
        orderCount += orders.size();
        orders.forEach(command -> proposals.add(sign(command)));
    }

    /** Updates this member's own leases, its quota and its failure detector after a command was applied. */
    private final class AppliedCommandHandler implements DefaultCommandVisitor<Void> {
        private final long now;
        private final long entry;
        private final Command.Envelope envelope;

        AppliedCommandHandler(long now, long entry, Command.Envelope envelope) {
            this.now = now;
            this.entry = entry;
            this.envelope = envelope;
        }

        private boolean isOwn() {
            return envelope.proposer().equals(member);
        }

        private long validityStartFor(long proposedAt) {
            return validityStart.applyAsLong(proposedAt, now);
        }

        @Override
        public Void renewLease(Command.RenewLease command) {
            if (isOwn()) {
                ownLeases.onRenewalApplied(command, envelope.id(), this::validityStartFor);
            }
            return null;
        }

        @Override
        public Void requestQuota(Command.RequestQuota command) {
            if (isOwn()) {
                ownQuota.onRequestApplied(entry, envelope.id());
            }
            return null;
        }

        @Override
        public Void grantQuota(Command.GrantQuota command) {
            ownQuota.onGrantApplied(entry, command, this::validityStartFor);
            return null;
        }

        @Override
        public Void reportSiteObservation(Command.ReportSiteObservation command) {
            sites.onObservationsApplied(now, envelope.proposer(), command.observations());
            return null;
        }

        @Override
        public Void other(Command command) {
            return null;
        }
    }
}
