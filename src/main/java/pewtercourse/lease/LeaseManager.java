package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongBinaryOperator;
import java.util.function.ToIntFunction;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;

/**
 * One member's part in the duties: what was agreed comes in, in order, and what it wishes to have agreed goes out. It
 * knows no sockets and reads no clock: {@code now} is microseconds of this member's own monotonic clock. What is asked
 * for may be lost; it is asked for again.
 */
public final class LeaseManager {
    /** What a member sees around it at a tick. {@code heard} is null where it does not lead. */
    public record View(Set<String> members, Set<String> heard, long unixMs) {}

    /** A director's loan, by its own clock: {@code until} it may use the amount. */
    private record MyLoan(long until, long thousandths) {}

    private final LeaseSettings set;
    private final String self;
    private final LeaseWatch watch = new LeaseWatch();
    private final LeaseAssigner assigner;
    private final MaintenanceBudget maintenanceBudget;
    private final QuotaAllocator quotaAllocator;
    private FailoverController failoverController; // Null where sites are not kept.
    private final Map<String, Lease> mine = new TreeMap<>();
    private final Map<Long, Long> askedLoan = new HashMap<>(); // By the number of the command: when.
    private final Map<Long, Long> myAsks = new HashMap<>(); // By the entry of the wish: when it was asked for.
    private final Map<Long, MyLoan> myLoans = new TreeMap<>();
    private ClusterState state = new ClusterState();
    private long nextId, borrowAt = Long.MIN_VALUE, standingAt = Long.MIN_VALUE, acts;
    private boolean willing = true;
    private LongBinaryOperator from = (asked, answered) -> asked;

    /** {@code firstId}: numbers of commands begin there; drawn at random, so that two runs' do not meet. */
    public LeaseManager(
            LeaseSettings set,
            String self,
            long firstId,
            Function<String, String> zoneOf,
            ToIntFunction<String> zoneSize) {
        this.set = set;
        this.self = self;
        this.nextId = firstId;
        this.assigner = new LeaseAssigner(set);
        this.maintenanceBudget = new MaintenanceBudget(set, zoneOf, zoneSize);
        this.quotaAllocator = new QuotaAllocator(set);
    }

    /** The sites as this member's operators describe them, from now on. */
    public void sites(long now, Sites sites) {
        failoverController =
                failoverController == null ? new FailoverController(sites) : failoverController.with(sites);
        failoverController.see(now, state.failover());
    }

    /** What this member has seen of sites of late. */
    public Command.Envelope sighted(Map<String, SiteObservation> siteObservations) {
        return sign(new Command.ReportSiteObservation(siteObservations));
    }

    /** What a plan is to be made from, elsewhere, or null: this member doesn't keep the sites, or none is due. */
    public FailoverController.Question question(long now) {
        return failoverController == null || token(ClusterState.SITES, now) == 0
                ? null
                : failoverController.question(now, state.failover());
    }

    /** The plan for the last {@link #question}. */
    public void planned(long now, FailoverPlan plan) {
        if (failoverController != null) {
            failoverController.answered(now, plan);
        }
    }

    /** What each site's clients ask for, as far as this member has heard. */
    public Map<String, Double> loads() {
        return failoverController == null
                ? Map.of()
                : failoverController.detector().loads();
    }

    /** To see checks fail, and as a baseline: counts leases and loans from another time than when they were asked for. */
    public void countFrom(LongBinaryOperator other) {
        from = other;
    }

    public ClusterState state() {
        return state;
    }

    /** A snapshot takes the place of the state. */
    public void restored(long now, ClusterState to) {
        state = to;
        myLoans.clear(); // By whose wish they came is not known any more.
        myAsks.clear();
        seen(now);
    }

    /** The next entry was agreed. */
    public ClusterState.Result applied(long now, long index, Command.Envelope s) {
        ClusterState.Result r = state.apply(index, s);
        if (r.done()) {
            if (s.command() instanceof Command.RenewLease n
                    && s.by().equals(self)
                    && mine.containsKey(n.duty())
                    && mine.get(n.duty()).token == n.token()) {
                mine.get(n.duty()).renewed(s.id(), asked -> from.applyAsLong(asked, now));
            } else if (s.command() instanceof Command.RequestQuota && s.by().equals(self)) {
                Long at = askedLoan.remove(s.id());
                if (at != null) {
                    myAsks.clear();
                    myAsks.put(index, at);
                }
            } else if (s.command() instanceof Command.ReportSiteObservation t && failoverController != null) {
                failoverController.detector().see(now, s.by(), t.siteObservations());
            } else if (s.command() instanceof Command.GrantQuota l
                    && l.to().equals(self)
                    && set.quotaAllocator() != null) {
                Long at = myAsks.remove(l.ask());
                if (at != null) {
                    myLoans.put(
                            index,
                            new MyLoan(
                                    from.applyAsLong(at, now)
                                            + (long) (set.quotaAllocator().loan() * (1 - set.drift())),
                                    l.thousandths()));
                }
            }
        }
        seen(now);
        return r;
    }

    private void seen(long now) {
        watch.see(now, state);
        maintenanceBudget.see(now, state);
        quotaAllocator.see(now, state);
        if (failoverController != null) {
            failoverController.see(now, state.failover());
        }
        mine.keySet().removeIf(name -> !state.duty(name).holder().equals(self));
        state.duties().forEach((name, d) -> {
            if (d.holder().equals(self) && (!mine.containsKey(name) || mine.get(name).token != d.token())) {
                mine.put(name, new Lease(set, d.token()));
            }
        });
        myLoans.keySet().retainAll(state.loans().keySet());
    }

    /** The token with which this member may act in a duty at this very moment, or 0. */
    public long token(String duty, long now) {
        Lease l = mine.get(duty);
        return l == null ? 0 : l.token(now);
    }

    /** Microseconds left of this member's lease, 0 for none. */
    public long left(String duty, long now) {
        Lease l = mine.get(duty);
        return l == null ? 0 : l.left(now);
    }

    /** Whether nothing of it is left to hand on. */
    public boolean free() {
        return mine.isEmpty();
    }

    /** Orders given in a duty since the start. */
    public long acts() {
        return acts;
    }

    /** Whether it takes duties: not while it drains or stands by. What it holds it hands on. */
    public void willing(boolean on) {
        willing = on;
        standingAt = Long.MIN_VALUE;
    }

    public Command.Envelope sign(Command c) {
        return new Command.Envelope(self, nextId++, c);
    }

    /**
     * This director's factor on its part of a cold budget, in thousandths: what it keeps and what it has on loan at
     * {@code now}. 1,000 without a quota allocator.
     */
    public long part(long now) {
        return set.kept()
                + myLoans.values().stream()
                        .filter(l -> now < l.until())
                        .mapToLong(MyLoan::thousandths)
                        .sum();
    }

    /** It could use so many thousandths more; null where there is nothing to ask for, or it was asked just now. */
    public Command.Envelope borrow(long now, long thousandths) {
        if (set.quotaAllocator() == null || now < borrowAt) {
            return null;
        }
        ClusterState.QuotaRequest wish = state.wishes().get(self);
        if (thousandths <= 0 && wish == null) {
            return null;
        }
        borrowAt = now + set.again();
        askedLoan.clear();
        Command.Envelope s = sign(new Command.RequestQuota(thousandths));
        askedLoan.put(s.id(), now);
        return s;
    }

    /** What this member wishes to have agreed now. Called every few milliseconds, and after what was applied. */
    public List<Command.Envelope> tick(long now, View view) {
        List<Command> orders = new ArrayList<>();
        if (willing == state.unwilling().contains(self) && now >= standingAt) {
            standingAt = now + set.again();
            orders.add(new Command.SetEligibility(willing));
        }
        if (view.heard() == null) {
            assigner.reset();
        } else {
            orders.addAll(assigner.orders(now, state, watch, view.members(), view.heard()));
        }
        List<Command.Envelope> signed = new ArrayList<>();
        orders.forEach(c -> signed.add(sign(c)));
        mine.forEach((name, lease) -> hold(now, name, lease, signed));
        // Checked here, right before: it may have been stopped for long since the last time.
        act(signed, maintenanceBudget(now, view));
        act(signed, quotaAllocator(now, view));
        act(signed, sites(now, view));
        return signed;
    }

    private void act(List<Command.Envelope> signed, List<Command> orders) {
        acts += orders.size();
        orders.forEach(c -> signed.add(sign(c)));
    }

    private void hold(long now, String name, Lease lease, List<Command.Envelope> signed) {
        ClusterState.LeaseRecord d = state.duty(name);
        boolean leave = !willing || d.moves() && !d.preferred().equals(self);
        if (leave) {
            lease.handOn();
        }
        if ((leave || lease.handedOn()) && lease.again(now)) {
            String to = d.moves() && !state.unwilling().contains(d.preferred()) ? d.preferred() : "";
            signed.add(sign(new Command.ReleaseLease(name, lease.token, to)));
        } else if (!leave && lease.due(now)) {
            Command.Envelope s = sign(new Command.RenewLease(name, lease.token, d.renewals()));
            lease.ask(now, s.id());
            signed.add(s);
        }
    }

    private List<Command> maintenanceBudget(long now, View view) {
        long token = token(ClusterState.MAINTENANCE, now);
        return token == 0 || set.maintenanceBudget() == null
                ? List.of()
                : maintenanceBudget.orders(now, view.unixMs(), token, state);
    }

    private List<Command> sites(long now, View view) {
        long token = token(ClusterState.SITES, now);
        if (token == 0 || failoverController == null) {
            return List.of();
        }
        failoverController.detector().members(view.members());
        List<Command> orders = new ArrayList<>();
        failoverController
                .orders(now, state.failover(), state.absent())
                .forEach(d -> orders.add(new Command.ChangeSiteStatus(d, token)));
        FailoverPlan plan = failoverController.planned(state.failover());
        if (plan != null) {
            orders.add(new Command.PublishFailoverPlan(plan, token));
        }
        return orders;
    }

    private List<Command> quotaAllocator(long now, View view) {
        long token = token(ClusterState.QUOTA, now);
        return token == 0 || set.quotaAllocator() == null
                ? List.of()
                : quotaAllocator.orders(now, token, state, view.members().size());
    }
}
