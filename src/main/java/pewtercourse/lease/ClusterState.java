package pewtercourse.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import pewtercourse.failover.FailoverState;
import pewtercourse.lease.wire.LeaseWire;

/**
 * What the members have agreed on, the same at each after the same commands: it knows no clock and draws nothing.
 * Whether a lease is over is judged by those who wait for it ({@link LeaseWatch}); here only tokens and counts decide.
 */
public final class ClusterState {
    /** The duties that this version knows. Duty names are free; these give orders that are checked below. */
    public static final String MAINTENANCE = "maintenance", QUOTA = "quota", SITES = "sites";

    // Bounds on what operators and members can make it keep.
    private static final int OUT_MOST = 1_024,
            TICKETS_MOST = 1_024,
            WISHES_MOST = 64,
            LOANS_MOST = 256,
            WORDS_MOST = 4_096;

    /**
     * {@code holder} empty: nobody's. {@code renewals} 0: assigned, and not taken up yet. {@code moves}: the holder is to
     * hand it on, to {@code preferred} or, if that is empty, to whoever is best. Of nobody's duty {@code preferred} is who
     * has just handed it on, and gets it back only if there is no other.
     */
    public record LeaseRecord(String holder, long token, long renewals, boolean moves, String preferred) {
        static final LeaseRecord NOBODYS = of("", 0);

        static LeaseRecord of(String holder, long token) {
            return new LeaseRecord(holder, token, 0, false, "");
        }
    }

    /** A call to take a cache out: {@code let} once the holder of the maintenance duty has. */
    public record MaintenanceRequest(long number, String target, String zone, String by, boolean let) {}

    /** What a director asked for, in thousandths of an equal part. */
    public record QuotaRequest(long ask, long thousandths) {}

    /** What a director got of that, and from which request. */
    public record QuotaGrant(String to, long ask, long thousandths) {}

    /**
     * What became of a command. {@code why} null: it was done, or had been done before. {@code late}: a later word on the
     * same cache was agreed first, and it changed nothing; said anew, it counts.
     */
    public record Result(String why, boolean late) {
        static final Result DONE = new Result(null);
        static final Result LATE = new Result("another word on this was agreed first: call again", true);

        public Result(String why) {
            this(why, false);
        }

        public boolean done() {
            return why == null;
        }
    }

    private final TreeMap<String, LeaseRecord> duties = new TreeMap<>();
    private final TreeMap<String, Long> out = new TreeMap<>(), back = new TreeMap<>();
    private final TreeMap<Long, MaintenanceRequest> tickets = new TreeMap<>();
    private final TreeMap<String, Long> lastWords = new TreeMap<>(); // By cache: the entry of the last word on it.
    private final TreeMap<String, QuotaRequest> wishes = new TreeMap<>();
    private final TreeMap<Long, QuotaGrant> loans = new TreeMap<>();
    private final TreeSet<String> unwilling = new TreeSet<>(), absent = new TreeSet<>();
    private final FailoverState failover = new FailoverState();
    private long lastToken, words;

    /** Applies the command of the log's entry {@code index}; its number is the number of what it makes. */
    public Result apply(long index, Command.Envelope s) {
        Command c = s.command();
        if (c instanceof Command.AssignLease a) {
            return assign(a);
        } else if (c instanceof Command.RenewLease r) {
            return renew(s.by(), r);
        } else if (c instanceof Command.ReleaseLease h) {
            return handOn(s.by(), h);
        } else if (c instanceof Command.DrainCache o) {
            return word(index, o.target(), o.after(), () -> goOut(o.target(), o.atMs()));
        } else if (c instanceof Command.ReinstateCache b) {
            return word(index, b.target(), b.after(), () -> {
                tickets.values().removeIf(t -> t.target().equals(b.target()));
                return comeBack(b.target(), b.atMs());
            });
        } else if (c instanceof Command.RequestMaintenance a) {
            return word(index, a.target(), a.after(), () -> ask(index, s.by(), a));
        } else if (c instanceof Command.GrantMaintenance l) {
            return let(l);
        } else if (c instanceof Command.CancelMaintenance w) {
            return withdraw(s.by(), w);
        } else if (c instanceof Command.RequestQuota b) {
            return borrow(index, s.by(), b);
        } else if (c instanceof Command.GrantQuota l) {
            return lend(index, l);
        } else if (c instanceof Command.ReleaseQuota t) {
            boolean holds = duty(QUOTA).token() == t.token();
            return !holds
                    ? new Result("an older token")
                    : loans.remove(t.loan()) == null ? new Result("settled before") : Result.DONE;
        } else if (c instanceof Command.SetEligibility t) {
            return among(unwilling, s.by(), !t.willing());
        } else if (c instanceof Command.RequestTransfer p) {
            return prefer(p);
        } else if (c instanceof Command.ReportAbsence a) {
            return among(absent, a.member(), a.absent());
        }
        return sites(index, c);
    }

    private Result sites(long index, Command c) {
        if (c instanceof Command.ReportSiteObservation) {
            return Result.DONE;
        } else if (c instanceof Command.ChangeSiteStatus d) {
            return duty(SITES).token() != d.token()
                    ? new Result("an older token")
                    : failover.declare(
                                    index,
                                    d.what().site(),
                                    d.what().phase(),
                                    d.what().health(),
                                    d.what().step(),
                                    d.what().flaps(),
                                    d.what().after())
                            ? Result.DONE
                            : new Result("another change of this site came first");
        } else if (c instanceof Command.PublishFailoverPlan p) {
            if (duty(SITES).token() != p.token()) {
                return new Result("an older token");
            }
            failover.plan(p.plan());
            return Result.DONE;
        } else if (c instanceof Command.PauseSiteRecovery h) {
            return failover.hold(index, h.site(), h.on(), h.after()) ? Result.DONE : Result.LATE;
        } else if (c instanceof Command.StartFailoverDrill d) {
            return failover.drill(index, d.site(), d.after()) ? Result.DONE : Result.LATE;
        }
        throw new IllegalArgumentException(c.toString());
    }

    private static Result among(Set<String> names, String name, boolean in) {
        return (in ? names.size() < WISHES_MOST && names.add(name) : names.remove(name))
                ? Result.DONE
                : new Result("known");
    }

    // ---- LeaseManager ----

    private Result assign(Command.AssignLease a) {
        LeaseRecord d = duty(a.duty());
        if (d.token() != a.token() || d.renewals() != a.renewals()) {
            return new Result("renewed or assigned meanwhile");
        }
        duties.put(a.duty(), LeaseRecord.of(a.to(), ++lastToken));
        return Result.DONE;
    }

    private Result renew(String by, Command.RenewLease r) {
        LeaseRecord d = duty(r.duty());
        if (d.token() != r.token() || !d.holder().equals(by)) {
            return new Result("an older token");
        }
        if (d.renewals() != r.renewals()) {
            return new Result("renewed before");
        }
        duties.put(r.duty(), new LeaseRecord(by, d.token(), d.renewals() + 1, d.moves(), d.preferred()));
        return Result.DONE;
    }

    private Result handOn(String by, Command.ReleaseLease h) {
        LeaseRecord d = duty(h.duty());
        if (d.token() != h.token() || !d.holder().equals(by)) {
            return new Result("an older token");
        }
        duties.put(h.duty(), new LeaseRecord(h.to(), ++lastToken, 0, false, h.to().isEmpty() ? by : ""));
        return Result.DONE;
    }

    private Result prefer(Command.RequestTransfer p) {
        LeaseRecord d = duty(p.duty());
        if (d.token() != p.token() || d.holder().isEmpty()) {
            return new Result("an older token");
        }
        duties.put(p.duty(), new LeaseRecord(d.holder(), d.token(), d.renewals(), true, p.to()));
        return Result.DONE;
    }

    // ---- What operators said ----

    // The words on one cache count in one order. One that was said before the last one was known is void: it is a copy
    // that was sent again, or comes late, and would undo what somebody has been told since.
    private Result word(long index, String target, long after, Supplier<Result> what) {
        if (lastWord(target) != after) {
            return Result.LATE;
        }
        Result r = what.get();
        if (r.done()) {
            lastWords.put(target, index);
            if (lastWords.size() > WORDS_MOST) {
                lastWords.remove(Collections.min(lastWords.entrySet(), Map.Entry.comparingByValue())
                        .getKey());
            }
        }
        return r;
    }

    private Result goOut(String target, long atMs) {
        if (out.containsKey(target)) {
            return Result.DONE;
        }
        if (out.size() >= OUT_MOST) {
            return new Result(OUT_MOST + " are out");
        }
        words++;
        out.put(target, atMs);
        back.remove(target);
        return Result.DONE;
    }

    private Result comeBack(String target, long atMs) {
        if (out.remove(target) != null) {
            if (back.size() >= OUT_MOST) {
                back.remove(Collections.min(back.entrySet(), Map.Entry.comparingByValue())
                        .getKey());
            }
            back.put(target, atMs);
            words++;
        }
        return Result.DONE;
    }

    // ---- Maintenance ----

    private Result ask(long index, String by, Command.RequestMaintenance a) {
        if (out.containsKey(a.target()) || ticketOf(a.target()) != null) {
            return Result.DONE;
        }
        if (tickets.size() >= TICKETS_MOST) {
            return new Result(TICKETS_MOST + " calls wait or are out");
        }
        tickets.put(index, new MaintenanceRequest(index, a.target(), a.zone(), by, false));
        return Result.DONE;
    }

    private Result let(Command.GrantMaintenance l) {
        MaintenanceRequest t = tickets.get(l.ticket());
        if (duty(MAINTENANCE).token() != l.token()) {
            return new Result("an older token");
        }
        if (t == null || !t.target().equals(l.target())) {
            return new Result("withdrawn meanwhile");
        }
        Result done = goOut(l.target(), l.atMs());
        if (done.done()) {
            tickets.put(l.ticket(), new MaintenanceRequest(t.number(), t.target(), t.zone(), t.by(), true));
        }
        return done;
    }

    private Result withdraw(String by, Command.CancelMaintenance w) {
        MaintenanceRequest t = tickets.get(w.ticket());
        if (t == null || !t.target().equals(w.target())) {
            return new Result("withdrawn before");
        }
        boolean may = w.token() == 0
                ? t.by().equals(by) && !t.let()
                : duty(MAINTENANCE).token() == w.token();
        if (!may) {
            return new Result("an older token, or another's ticket");
        }
        tickets.remove(w.ticket());
        return t.let() ? comeBack(w.target(), w.atMs()) : Result.DONE;
    }

    // ---- Quota ----

    private Result borrow(long index, String by, Command.RequestQuota b) {
        if (wishes.size() >= WISHES_MOST && !wishes.containsKey(by)) {
            return new Result("too many wishes");
        }
        if (b.thousandths() <= 0) {
            wishes.remove(by);
        } else {
            wishes.put(by, new QuotaRequest(index, b.thousandths()));
        }
        return Result.DONE;
    }

    private Result lend(long index, Command.GrantQuota l) {
        QuotaRequest w = wishes.get(l.to());
        if (duty(QUOTA).token() != l.token()) {
            return new Result("an older token");
        }
        if (w == null || w.ask() != l.ask() || l.thousandths() <= 0) {
            return new Result("not wished for any more");
        }
        if (loans.size() >= LOANS_MOST || lent() + l.thousandths() > l.pool()) {
            return new Result("over what may be lent");
        }
        wishes.remove(l.to());
        loans.put(index, new QuotaGrant(l.to(), l.ask(), l.thousandths()));
        return Result.DONE;
    }

    // ---- What is known ----

    /** Nobody's with token 0 if it was never assigned. */
    public LeaseRecord duty(String name) {
        return duties.getOrDefault(name, LeaseRecord.NOBODYS);
    }

    public SortedMap<String, LeaseRecord> duties() {
        return Collections.unmodifiableSortedMap(duties);
    }

    /** Caches out by an operator's word, and since when. */
    public Map<String, Long> out() {
        return Collections.unmodifiableMap(out);
    }

    /** The entry of the last word on a cache, 0 where none is known any more. */
    public long lastWord(String target) {
        return lastWords.getOrDefault(target, 0L);
    }

    /** Changes of {@link #out} and {@link #back} since this state was made or read. */
    public long words() {
        return words;
    }

    /** Those that came back, and when. */
    public Map<String, Long> back() {
        return Collections.unmodifiableMap(back);
    }

    /** In the order in which they were asked for. */
    public SortedMap<Long, MaintenanceRequest> tickets() {
        return Collections.unmodifiableSortedMap(tickets);
    }

    public MaintenanceRequest ticketOf(String target) {
        return tickets.values().stream()
                .filter(t -> t.target().equals(target))
                .findFirst()
                .orElse(null);
    }

    public Map<String, QuotaRequest> wishes() {
        return Collections.unmodifiableMap(wishes);
    }

    public SortedMap<Long, QuotaGrant> loans() {
        return Collections.unmodifiableSortedMap(loans);
    }

    public long lent() {
        return loans.values().stream().mapToLong(QuotaGrant::thousandths).sum();
    }

    /** What is agreed on the sites. */
    public FailoverState failover() {
        return failover;
    }

    /** Members that take no duties for now. */
    public Set<String> unwilling() {
        return Collections.unmodifiableSet(unwilling);
    }

    /** Members that the leader has not heard for long. */
    public Set<String> absent() {
        return Collections.unmodifiableSet(absent);
    }

    // ---- Snapshots ----

    public byte[] encode() {
        LeaseWire.State.Builder b = LeaseWire.State.newBuilder()
                .setLastToken(lastToken)
                .addAllUnwilling(unwilling)
                .addAllAbsent(absent);
        duties.forEach((name, d) -> b.addDuty(LeaseWire.Duty.newBuilder()
                .setName(WireNames.toWire(name))
                .setHolder(d.holder())
                .setToken(d.token())
                .setRenewals(d.renewals())
                .setMoves(d.moves())
                .setPreferred(d.preferred())));
        out.forEach((name, at) ->
                b.addOut(LeaseWire.Named.newBuilder().setName(name).setAtMs(at)));
        back.forEach((name, at) ->
                b.addBack(LeaseWire.Named.newBuilder().setName(name).setAtMs(at)));
        lastWords.forEach((name, entry) ->
                b.addWord(LeaseWire.Word.newBuilder().setTarget(name).setEntry(entry)));
        tickets.values()
                .forEach(t -> b.addTicket(LeaseWire.Ticket.newBuilder()
                        .setNumber(t.number())
                        .setTarget(t.target())
                        .setZone(t.zone())
                        .setBy(t.by())
                        .setLet(t.let())));
        wishes.forEach((by, w) ->
                b.addWish(LeaseWire.Wish.newBuilder().setBy(by).setAsk(w.ask()).setThousandths(w.thousandths())));
        loans.forEach((n, l) -> b.addLoan(LeaseWire.Loan.newBuilder()
                .setNumber(n)
                .setTo(l.to())
                .setAsk(l.ask())
                .setThousandths(l.thousandths())));
        FailoverCodec.encode(failover, b);
        return b.build().toByteArray();
    }

    /** Of no bytes: the state at the founding. */
    public static ClusterState decode(byte[] bytes) throws InvalidProtocolBufferException {
        LeaseWire.State s = LeaseWire.State.parseFrom(bytes);
        ClusterState d = new ClusterState();
        d.lastToken = s.getLastToken();
        d.unwilling.addAll(s.getUnwillingList());
        d.absent.addAll(s.getAbsentList());
        s.getDutyList()
                .forEach(x -> d.duties.put(
                        WireNames.fromWire(x.getName()),
                        new LeaseRecord(x.getHolder(), x.getToken(), x.getRenewals(), x.getMoves(), x.getPreferred())));
        s.getOutList().forEach(x -> d.out.put(x.getName(), x.getAtMs()));
        s.getBackList().forEach(x -> d.back.put(x.getName(), x.getAtMs()));
        s.getWordList().forEach(x -> d.lastWords.put(x.getTarget(), x.getEntry()));
        s.getTicketList()
                .forEach(t -> d.tickets.put(
                        t.getNumber(),
                        new MaintenanceRequest(t.getNumber(), t.getTarget(), t.getZone(), t.getBy(), t.getLet())));
        s.getWishList().forEach(w -> d.wishes.put(w.getBy(), new QuotaRequest(w.getAsk(), w.getThousandths())));
        s.getLoanList()
                .forEach(l -> d.loans.put(l.getNumber(), new QuotaGrant(l.getTo(), l.getAsk(), l.getThousandths())));
        FailoverCodec.decode(s, d.failover);
        return d;
    }
}
