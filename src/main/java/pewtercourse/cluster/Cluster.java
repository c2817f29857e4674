package pewtercourse.cluster;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import pewtercourse.Log;
import pewtercourse.Timers;
import pewtercourse.config.ClusterConfig;
import pewtercourse.config.ConfigException;
import pewtercourse.config.DirectorConfig;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.FailoverPlanner;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.CommandOutcome;
import pewtercourse.lease.LeaseManager;
import pewtercourse.lease.LeaseRecord;
import pewtercourse.lease.RejectionReason;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Message;
import pewtercourse.raft.Raft;
import pewtercourse.raft.Ready;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;
import pewtercourse.raft.net.MemberTransport;
import pewtercourse.raft.store.LogStore;
import pewtercourse.raft.store.StoreException;
import pewtercourse.raft.wire.Wire;

/**
 * This director as a member of a cluster: between the sockets, the disk and the clock on the one side, the agreement and
 * the duties on the other, which know none of them. On the event loop, but for the disk's own thread. When the disk fails
 * the member falls silent, while the director serves on by what was last agreed, and comes back from its folder.
 */
public final class Cluster {
    private static final long SEGMENT = 4L << 20;
    private static final int SNAPSHOT_AFTER = 8_192, READS_MOST = 256, ROUNDS_MOST = 8;
    private static final long READ_MS = 400;
    private static final long SIGHT_EVERY = 1_000_000; // Microseconds.
    private static final long REOPEN_FIRST_MS = 500, REOPEN_MOST_MS = 8_000;

    private final Vertx vertx;
    private final Context loop;
    private final Timers timers;
    private final ClusterConfig config;
    private final ClusterHost host;
    private final Random random = new Random(new SecureRandom().nextLong());
    private final long started = System.nanoTime();
    private final Proposals proposals;
    private final GrantWaiters grantWaiters;
    private final ChangeLog changeLog = new ChangeLog();
    private final Map<Long, Promise<Boolean>> reads = new HashMap<>();
    private Sites sites; // Null where they are not kept.
    private LeaseManager duties;
    private ExecutorService thread;
    private Disk disk;
    private MemberTransport net;
    private Raft raft; // Null while the folder is not open.
    private long timer = -1,
            reopenMs = REOPEN_FIRST_MS,
            nextRead = 1,
            applied,
            toldWords = -1,
            transferAt = -1,
            diskFailures,
            toldSites = -1,
            sightAt;
    private Set<String> toldAbsent = Set.of();
    private boolean willing = true, closed, pumping;

    public Cluster(Vertx vertx, ClusterConfig config, ClusterHost host) {
        this.vertx = vertx;
        this.loop = vertx.getOrCreateContext();
        this.timers = Timers.of(vertx);
        this.config = config;
        this.host = host;
        this.sites = config.sites();
        this.grantWaiters = new GrantWaiters(timers);
        this.proposals = new Proposals(timers, new ProposalLog());
    }

    private final class ProposalLog implements Proposals.ReplicatedLog {
        @Override
        public boolean open() {
            return raft != null;
        }

        @Override
        public Command.Envelope sign(Command command) {
            return duties.sign(command);
        }

        @Override
        public void offer(byte[] command, long id) {
            Cluster.this.offer(command, id);
            pump();
        }

        @Override
        public String whyNotAgreed() {
            return noMajority();
        }
    }

    // ---- Its folder, at the start and after an error ----

    /** Fails with a {@link StoreException} where the folder must not be used, or when it can't listen. */
    public Future<Void> start() {
        Promise<Void> up = Promise.promise();
        host.part(config.duties().reservedThousandths() / 1_000.0);
        thread = Disk.thread();
        ExecutorService mine = thread;
        mine.execute(() -> {
            LogStore store = null;
            try {
                store = LogStore.open(config.data(), config.cluster(), config.name(), SEGMENT);
                Saved saved = store.recover();
                LogStore opened = store;
                loop.runOnContext(v -> opened(opened, saved).onComplete(up));
            } catch (IOException | RuntimeException e) {
                if (store != null) {
                    try {
                        store.close();
                    } catch (IOException again) {
                        e.addSuppressed(again);
                    }
                }
                mine.shutdown();
                loop.runOnContext(v -> up.fail(e));
            }
        });
        return up.future();
    }

    private Future<Void> opened(LogStore store, Saved saved) {
        if (closed) {
            thread.execute(() -> {
                try {
                    store.close();
                } catch (IOException e) {
                    // It ends.
                }
            });
            return Future.failedFuture("ended meanwhile");
        }
        disk = new Disk(thread, loop, store, this::saved, this::diskFailed);
        duties = new LeaseManager(
                config.duties(), config.name(), new SecureRandom().nextLong() >>> 16, host::zoneOf, host::zoneSize);
        if (sites != null) {
            duties.configureSites(now(), sites);
        }
        duties.setEligible(willing);
        raft = new Raft(config.raft(), config.name(), saved, now(), random);
        applied = saved.snapshot().index();
        reopenMs = REOPEN_FIRST_MS;
        Log.info(
                "cluster.opened",
                "name",
                config.name(),
                "term",
                saved.term(),
                "snapshot",
                saved.snapshot().index(),
                "last",
                raft.lastIndex(),
                "incarnation",
                Long.toHexString(saved.incarnation()),
                "members",
                raft.members().all().keySet());
        net = new MemberTransport(
                vertx, config.cluster(), config.name(), saved.incarnation(), random, this::address, this::receive);
        pump();
        return net.listen(SocketAddress.inetSocketAddress(config.listen())).mapEmpty();
    }

    private void diskFailed(IOException e) {
        diskFailures++;
        Log.warn("cluster.disk_failed", "error", e);
        shut("the disk failed");
        reopen();
    }

    private void reopen() {
        if (closed) {
            return;
        }
        long in = reopenMs / 2 + (long) (random.nextDouble() * reopenMs);
        reopenMs = Math.min(REOPEN_MOST_MS, 2 * reopenMs);
        timers.set(
                in,
                () -> start().onFailure(e -> {
                    Log.warn("cluster.not_opened", "error", e);
                    reopen();
                }));
    }

    private void shut(String why) {
        timers.cancel(timer);
        raft = null;
        proposals.failAll(why);
        reads.values().forEach(r -> r.tryComplete(false));
        reads.clear();
        net.close();
        disk.close();
        host.part(config.duties().reservedThousandths() / 1_000.0);
    }

    /** Nothing more is said or written. What it holds should be handed on before: {@link #willing}. */
    public void close() {
        closed = true;
        if (raft != null) {
            shut("ending");
        }
    }

    // ---- What comes in ----

    private long now() {
        return (System.nanoTime() - started) / 1_000;
    }

    private SocketAddress address(String member) {
        String known = config.address(member);
        if (known == null && raft != null && raft.members().all().containsKey(member)) {
            known = raft.members().all().get(member).address();
        }
        try {
            return known == null ? null : SocketAddress.inetSocketAddress(DirectorConfig.address("address", known));
        } catch (ConfigException e) {
            return null;
        }
    }

    private void receive(String from, long incarnation, Wire.Frame f) {
        if (raft == null) {
            return;
        }
        switch (f.getBodyCase()) {
            case CALL -> {
                Raft.Proposed p = raft.propose(now(), f.getCall().getCommand().toByteArray());
                if (p.refusal() != null) {
                    Log.counted("cluster.call_refused", "from", from, "why", p.refusal());
                }
            }
            case BODY_NOT_SET, HELLO -> Log.counted("cluster.stranger", "from", from, "error", "an unknown frame");
            default -> {
                Message m = Codec.decode(f);
                if (m != null) {
                    // Time first: after a standstill it may no longer be what it was.
                    raft.tick(now());
                    raft.receive(now(), from, incarnation, m);
                }
            }
        }
        pump();
    }

    private void saved(long number) {
        if (raft != null) {
            raft.saved(now(), number);
            pump();
        }
    }

    private void due() {
        timer = -1;
        if (raft != null) {
            raft.tick(now());
            pump();
        }
    }

    // ---- What goes out ----

    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            for (int round = 0; raft != null && round < ROUNDS_MOST; round++) {
                boolean changed = carryOut(raft.take());
                if (!orders() && !changed) {
                    break;
                }
            }
        } catch (RuntimeException e) {
            Log.error("cluster.unexpected", e);
            shut("an error");
            reopen();
        } finally {
            pumping = false;
        }
        if (raft != null) {
            timers.cancel(timer);
            long next = Math.min(raft.wakeAt(), now() + config.duties().retryMicros() / 4);
            timer = timers.set(Timers.millis(next - now()), this::due);
        }
    }

    /** True if something was applied. */
    private boolean carryOut(Ready r) {
        if (r.save() != null) {
            disk.save(r.save());
        }
        r.send().forEach(a -> net.send(a.to(), Codec.encode(a.message())));
        boolean changed = false;
        try {
            if (r.install() != null) {
                toldWords = -1;
                toldSites = -1;
                duties.restore(now(), ClusterState.decode(r.install().state()));
                applied = r.install().index();
                changed = true;
            }
            for (Entry e : r.committed()) {
                applied = e.index();
                if (e.kind() == Entry.Kind.COMMAND) {
                    apply(e);
                    changed = true;
                }
            }
        } catch (InvalidProtocolBufferException e) {
            // Going on without it would leave this member with another state than the others.
            throw new IllegalStateException("entry " + applied + " can't be read: " + e.getMessage());
        }
        r.reads().forEach(x -> {
            Promise<Boolean> p = reads.remove(x.id());
            if (p != null) {
                p.tryComplete(x.confirmed());
            }
        });
        tellSites();
        if (changed && duties.state().drainRevision() != toldWords) {
            toldWords = duties.state().drainRevision();
            host.agreed(duties.state().drainedCaches(), duties.state().reinstatedCaches());
            grantWaiters.granted(duties.state().drainedCaches().keySet());
        }
        changeLog.write(raft, duties.state());
        snapshot();
        return changed;
    }

    private void apply(Entry e) throws InvalidProtocolBufferException {
        Command.Envelope s = CommandCodec.decode(e.command());
        CommandOutcome result = duties.apply(now(), e.index(), s);
        if (s.proposer().equals(config.name())) {
            proposals.applied(s.id(), result);
        }
    }

    /** True if something was asked for. */
    private boolean orders() {
        if (raft == null || raft.members().all().isEmpty()) {
            return false;
        }
        boolean any = false;
        long now = now();
        Set<String> heard = raft.role() == Raft.Role.LEADER ? raft.heard(now) : null;
        LeaseManager.View view =
                new LeaseManager.View(raft.members().all().keySet(), heard, System.currentTimeMillis());
        for (Command.Envelope s : duties.tick(now, view)) {
            if (s.command() instanceof Command.GrantMaintenance
                    || s.command() instanceof Command.GrantQuota
                    || s.command() instanceof Command.ReleaseQuota
                    || s.command() instanceof Command.CancelMaintenance
                    || s.command() instanceof Command.ChangeSiteStatus) {
                Log.info("duty.act", "order", s.command(), "id", s.id());
            }
            offer(CommandCodec.encode(s), s.id());
            any = true;
        }
        sight(now);
        plan();
        Optional<Command.Envelope> quotaRequest = duties.requestQuota(now, Math.round(1_000 * host.coldWanted()));
        if (quotaRequest.isPresent()) {
            Command.Envelope request = quotaRequest.get();
            offer(CommandCodec.encode(request), request.id());
            any = true;
        }
        host.part(duties.quotaThousandths(now) / 1_000.0);
        return any;
    }

    // To the log if it leads, else to whoever does; lost if nobody is known to.
    private void offer(byte[] command, long id) {
        if (raft.role() == Raft.Role.LEADER) {
            raft.propose(now(), command);
        } else if (raft.leader() != null) {
            net.send(
                    raft.leader(),
                    Wire.Frame.newBuilder()
                            .setCall(Wire.Call.newBuilder().setId(id).setCommand(ByteString.copyFrom(command)))
                            .build());
        }
    }

    private void snapshot() {
        if (raft == null || applied - raft.snapshotIndex() < SNAPSHOT_AFTER) {
            return;
        }
        Raft of = raft;
        Snapshot s = raft.snapshotAt(applied, duties.state().encode());
        if (s != null) {
            disk.snapshot(s, done -> {
                if (raft == of) {
                    raft.compacted(done);
                }
            });
        }
    }

    private void tellSites() {
        FailoverState failover = duties.state().failover();
        if (sites == null
                || failover.version() == toldSites
                        && duties.state().absentMembers().equals(toldAbsent)) {
            return;
        }
        toldSites = failover.version();
        toldAbsent = Set.copyOf(duties.state().absentMembers());
        failover.statuses().forEach(changeLog::writeSite);
        host.sites(failover, toldAbsent);
    }

    /** Sites as a new file describes them, from now on. */
    public void sites(Sites to) {
        sites = to;
        toldSites = -1;
        if (raft != null) {
            duties.configureSites(now(), to);
            pump();
        }
    }

    // Off the event loop: a plan for many sites takes some milliseconds.
    private void plan() {
        FailoverPlanRequest q =
                sites == null ? null : duties.planInput(now()).orElse(null);
        if (q == null) {
            return;
        }
        Sites of = sites;
        vertx.executeBlocking(() -> new FailoverPlanner().plan(of, q))
                .onComplete(p -> {
                    if (p.failed()) {
                        Log.warn("site.not_planned", "error", p.cause());
                    } else if (raft != null && of == sites) {
                        duties.planComputed(now(), p.result());
                        pump();
                    }
                });
    }

    private void sight(long now) {
        if (sites != null && now >= sightAt) {
            sightAt = now + SIGHT_EVERY;
            Map<String, SiteObservation> siteObservations = host.siteObservations();
            if (!siteObservations.isEmpty()) {
                Command.Envelope s = duties.reportObservations(siteObservations);
                offer(CommandCodec.encode(s), s.id());
            }
        }
    }

    // ---- What the director and its operators ask ----

    /**
     * Has a command agreed; it is made anew where another word on the same cache was agreed first. Fails, with the reason,
     * when that is not known within 1.3 s: it may still be agreed later, and asking again does no harm.
     */
    public Future<CommandOutcome> agree(Supplier<Command> command) {
        return proposals.agree(command);
    }

    /** Whether the maintenance budget lets the cache out within what a caller waits. Never fails. */
    public Future<Boolean> let(String target) {
        Future<Boolean> granted = grantWaiters.await(target);
        grantWaiters.granted(state().drainedCaches().keySet());
        return granted;
    }

    private String noMajority() {
        return raft == null || raft.leader() == null
                ? "no leader: a majority of the members is not reached"
                : "not agreed in time by a majority; the leader is " + raft.leader();
    }

    /** Whether this member's state is as new as the majority's; false when that is not known in time. Only a leader knows. */
    public Future<Boolean> confirm() {
        Promise<Boolean> p = Promise.promise();
        long id = nextRead++;
        if (raft == null || reads.size() >= READS_MOST || raft.read(now(), id) != null) {
            return Future.succeededFuture(false);
        }
        reads.put(id, p);
        long end = timers.set(READ_MS, () -> p.tryComplete(false));
        pump();
        return p.future().onComplete(r -> {
            reads.remove(id);
            timers.cancel(end);
        });
    }

    public ClusterState state() {
        return duties == null ? new ClusterState() : duties.state();
    }

    public boolean hasMaintenanceBudget() {
        return config.duties().maintenanceBudget() != null;
    }

    public boolean maintenanceWaits() {
        return config.duties().maintenanceBudget().queues();
    }

    /** Whether it takes duties; when not, it hands on what it holds, and leadership too. */
    public void willing(boolean on) {
        willing = on;
        transferAt = -1;
        if (raft != null) {
            duties.setEligible(on);
            pump();
        }
    }

    /** Whether it holds no duty and does not lead, or can do nothing about it. */
    public boolean handedOn() {
        if (raft == null) {
            return true;
        }
        if (!duties.holdsNoLease()) {
            return raft.leader() == null;
        }
        if (raft.role() != Raft.Role.LEADER) {
            return true;
        }
        String heir = transferAt < 0 ? raft.heir(now()) : null;
        if (heir != null) {
            transferAt = now();
            raft.transfer(transferAt, heir);
            pump();
        }
        return transferAt < 0 || now() - transferAt > config.raft().electionTo();
    }

    /** By an operator: the duty's holder is to hand it on, to {@code to} or, if that is empty, to whoever is best. */
    public Future<CommandOutcome> handOn(String duty, String to) {
        LeaseRecord d = state().lease(duty);
        if (d.holder().isEmpty()) {
            return Future.succeededFuture(CommandOutcome.rejected(RejectionReason.LEASE_NOT_HELD, duty));
        }
        if (!to.isEmpty() && (raft == null || !raft.members().all().containsKey(to))) {
            return Future.succeededFuture(CommandOutcome.rejected(RejectionReason.NOT_A_MEMBER, to));
        }
        return agree(() -> new Command.RequestTransfer(duty, d.token(), to));
    }

    /** By an operator at the leader: leadership goes to {@code to}, or, if that is empty, to whoever lacks least. Null, or why not. */
    public String transfer(String to) {
        return led(() -> {
            String heir = to.isEmpty() ? raft.heir(now()) : to;
            return heir == null ? Raft.Refusal.UNFIT : raft.transfer(now(), heir);
        });
    }

    /** By an operator at the leader: a new member, which learns first and votes then. Null, or why not. */
    public String add(String name, String address) {
        Membership.Member before = raft == null ? null : raft.members().all().get(name);
        return led(() -> before != null
                ? Raft.Refusal.UNFIT
                : raft.addMember(now(), name, address, 0).refusal());
    }

    public String remove(String name) {
        return led(() -> raft.removeMember(now(), name).refusal());
    }

    private String led(Supplier<Raft.Refusal> what) {
        if (raft == null) {
            return "the folder of this member can't be used: see the log";
        }
        raft.tick(now());
        Raft.Refusal no = what.get();
        pump();
        return no == null
                ? null
                : switch (no) {
                    case NOT_LEADER ->
                        "not the leader, which is " + (raft.leader() == null ? "not known" : raft.leader());
                    case CHANGING -> "another change is under way, or the leader is new: try again";
                    case HANDING_ON -> "leadership is being handed on: try again";
                    case BUSY -> "too much is under way: try again";
                    case UNFIT ->
                        "that is not possible: the member is unknown or there already, does not answer or has no vote";
                };
    }

    public boolean knowsSite(String name) {
        return sites != null && sites.byName().containsKey(name);
    }

    /** For operators, see {@link ClusterReport#sites}. Null where sites are not kept. */
    public JsonObject sitesStatus() {
        return sites == null ? null : report().sites(sites);
    }

    /** For operators, by name. While its folder can't be used only {@code cluster.open}, 0, and the disk's failures are known. */
    public Map<String, Long> figures() {
        return report().figures(now(), applied, proposals.waiting(), diskFailures);
    }

    /** For operators: {@code confirmed}, whether a majority has just said that nothing newer is agreed. */
    public JsonObject status(boolean confirmed) {
        return report().status(now(), applied, confirmed);
    }

    private ClusterReport report() {
        return new ClusterReport(config, raft, duties, net);
    }
}
