package pewtercourse.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongBinaryOperator;
import java.util.function.ToIntFunction;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;

/**
 * One member's part in the leases: agreed commands come in, in order, and commands that are to be agreed go out. A pure
 * core without sockets or clock: {@code now} is microseconds of the member's own monotonic clock. Proposed commands may
 * be lost; they are proposed again. Confined to the thread that applies the log.
 */
public final class LeaseManager {
    /**
     * What a member sees of the cluster at a tick.
     *
     * @param active members that answered lately; null where this member does not lead
     * @param unixMs Unix milliseconds, for what operators read
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
     * Creates the manager of a member that holds nothing and has applied nothing.
     *
     * @param firstId  number of its first command; drawn at random, so that those of two runs do not meet
     * @param zoneOf   zone of a cache, "" where it is not known
     * @param zoneSize caches listed in a zone
     */
    public LeaseManager(
            LeaseSettings settings,
            String member,
            long firstId,
            Function<String, String> zoneOf,
            ToIntFunction<String> zoneSize) {
        this.settings = settings;
        this.member = member;
        this.signer = new CommandSigner(member, firstId);
        this.assigner = new LeaseAssigner(settings);
        this.maintenance = new MaintenanceScheduler(settings, zoneOf, zoneSize);
        this.quotaAllocator = new QuotaAllocator(settings);
        this.ownLeases = new OwnLeases(settings, member, signer);
        this.ownQuota = new OwnQuota(settings, member, signer);
    }

    /** The sites as they are configured from now on. */
    public void configureSites(long now, Sites configured) {
        sites.configure(now, configured, state);
    }

    /** The command that reports what this member has lately seen of each site. */
    public Command.Envelope reportObservations(Map<String, SiteObservation> observations) {
        return signer.sign(new Command.ReportSiteObservation(observations));
    }

    /** What a failover plan is to be computed from; empty if none is due, or this member does not hold the sites lease. */
    public Optional<FailoverPlanRequest> planInput(long now) {
        return validToken(LeaseNames.SITES, now) == 0 ? Optional.empty() : sites.planInput(now, state);
    }

    /** The failover plan from the last {@link #planInput}. */
    public void planComputed(long now, FailoverPlan plan) {
        sites.planComputed(now, plan);
    }

    /** Transfers at once that each site's clients ask for, as last reported. */
    public Map<String, Double> siteLoads() {
        return sites.loads();
    }

    /**
     * Counts leases and quota grants from another time than when they were proposed. Unsafe: for baselines, and to see
     * invariant checks fail.
     *
     * @param start gives the start from when the command was proposed and when it was applied
     */
    public void countValidityFrom(LongBinaryOperator start) {
        validityStart = start;
    }

    /** The replicated state as this member has applied it. */
    public ClusterState state() {
        return state;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(long now, ClusterState snapshot) {
        state = snapshot;
        ownQuota.reset();
        follow(now);
    }

    /** Applies the command of the next log entry. */
    public CommandOutcome apply(long now, long index, Command.Envelope envelope) {
        CommandOutcome outcome = state.apply(index, envelope);
        if (outcome.isApplied()) {
            envelope.command().accept(new AppliedCommand(now, index, envelope));
        }
        follow(now);
        return outcome;
    }

    private void follow(long now) {
        watch.follow(now, state);
        maintenance.follow(now, state);
        quotaAllocator.follow(now, state);
        sites.follow(now, state);
        ownLeases.follow(state);
        ownQuota.follow(state);
    }

    /** The fencing token with which this member may act by a lease at this moment, or 0. */
    public long validToken(String lease, long now) {
        return ownLeases.validToken(lease, now);
    }

    /** Microseconds left of this member's lease, 0 for none. */
    public long remainingMicros(String lease, long now) {
        return ownLeases.remainingMicros(lease, now);
    }

    /** Whether there is no lease left to hand over. */
    public boolean holdsNoLease() {
        return ownLeases.isEmpty();
    }

    /** Orders that this member has given as a lease holder since it started. */
    public long orderCount() {
        return orderCount;
    }

    /** Whether this member takes leases: not while it drains or stands by. Otherwise it releases those that it holds. */
    public void setEligible(boolean eligible) {
        this.eligible = eligible;
        eligibilityRetryAt = Long.MIN_VALUE;
    }

    /** Gives a command the name of this member and a number. */
    public Command.Envelope sign(Command command) {
        return signer.sign(command);
    }

    /** This director's quota now, in thousandths of its share: 1,000 where quota is not divided. */
    public long quotaThousandths(long now) {
        return ownQuota.thousandths(now);
    }

    /** Requests so many thousandths more; empty where there is nothing to request, or it was requested just now. */
    public Optional<Command.Envelope> requestQuota(long now, long thousandths) {
        return ownQuota.request(now, thousandths, state);
    }

    /** What this member proposes now. Called every few milliseconds, and after commands were applied. */
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
        boolean agreed = !state.ineligibleMembers().contains(member);
        if (eligible != agreed && now >= eligibilityRetryAt) {
            eligibilityRetryAt = now + settings.retryMicros();
            proposals.add(sign(new Command.SetEligibility(eligible)));
        }
    }

    // Tokens are read here, right before the orders: the process may have been stopped for long since the last tick.
    private void proposeOrders(long now, View view, List<Command.Envelope> proposals) {
        List<Command> orders = new ArrayList<>();
        long maintenanceToken = validToken(LeaseNames.MAINTENANCE, now);
        if (maintenanceToken != 0 && settings.maintenanceBudget() != null) {
            orders.addAll(maintenance.orders(now, view.unixMs(), maintenanceToken, state));
        }
        long quotaToken = validToken(LeaseNames.QUOTA, now);
        if (quotaToken != 0 && settings.quotaPolicy() != null) {
            orders.addAll(
                    quotaAllocator.orders(now, quotaToken, state, view.members().size()));
        }
        long sitesToken = validToken(LeaseNames.SITES, now);
        if (sitesToken != 0) {
            orders.addAll(sites.orders(now, sitesToken, state, view.members()));
        }
        orderCount += orders.size();
        orders.forEach(command -> proposals.add(sign(command)));
    }

    /** What this member notes of a command that was applied. */
    private final class AppliedCommand implements DefaultCommandVisitor<Void> {
        private final long now;
        private final long entry;
        private final Command.Envelope envelope;

        AppliedCommand(long now, long entry, Command.Envelope envelope) {
            this.now = now;
            this.entry = entry;
            this.envelope = envelope;
        }

        private boolean isOwn() {
            return envelope.proposer().equals(member);
        }

        private long start(long proposedAt) {
            return validityStart.applyAsLong(proposedAt, now);
        }

        @Override
        public Void renewLease(Command.RenewLease command) {
            if (isOwn()) {
                ownLeases.renewed(command, envelope.id(), this::start);
            }
            return null;
        }

        @Override
        public Void requestQuota(Command.RequestQuota command) {
            if (isOwn()) {
                ownQuota.requested(entry, envelope.id());
            }
            return null;
        }

        @Override
        public Void grantQuota(Command.GrantQuota command) {
            ownQuota.granted(entry, command, this::start);
            return null;
        }

        @Override
        public Void reportSiteObservation(Command.ReportSiteObservation command) {
            sites.observed(now, envelope.proposer(), command.observations());
            return null;
        }

        @Override
        public Void other(Command command) {
            return null;
        }
    }
}
