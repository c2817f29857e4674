package pewtercourse.experiment;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.CommandOutcome;
import pewtercourse.lease.LeaseManager;
import pewtercourse.lease.LeaseNames;
import pewtercourse.lease.LeaseSettings;
import pewtercourse.raft.Codec;
import pewtercourse.raft.Entry;
import pewtercourse.raft.Membership;
import pewtercourse.raft.Message;
import pewtercourse.raft.Raft;
import pewtercourse.raft.RaftSettings;
import pewtercourse.raft.Ready;
import pewtercourse.raft.Save;
import pewtercourse.raft.Saved;
import pewtercourse.raft.Snapshot;

/**
 * Some members on a virtual clock, with clocks of different rates, links that lose, double, delay and reorder messages or
 * are cut one way, disks that take time, and members that crash (what was not synced is lost) or stand still. What must
 * never happen is checked after each step; the same seed plays the same.
 */
final class ClusterSim {
    /** Faults of the program itself, to see that the checks find them. */
    enum Planted {
        NONE,
        SAID_BEFORE_SAVED,
        LEASE_FROM_ANSWER,
        TOKEN_UNCHECKED,
        NO_PRE_VOTE,
        LOAN_FROM_ANSWER,
        WORD_UNCHECKED
    }

    static final long MS = 1_000, SECOND = 1_000_000;
    static final int CACHES = 12;
    private static final RaftSettings RAFT = new RaftSettings(
            50 * MS,
            150 * MS,
            300 * MS,
            new RaftSettings.Replication(4_096, 16, 4, 256),
            new RaftSettings.Snapshots(64, 1 << 20, 8));

    private record Event(long at, long order, int node, int life, Runnable run) {}

    /** What outlives a crash. */
    private static final class DiskModel {
        final long incarnation;
        long term, commit;
        String votedFor;
        Snapshot snapshot;
        final TreeMap<Long, Entry> entries = new TreeMap<>();

        DiskModel(long incarnation, Snapshot snapshot) {
            this.incarnation = incarnation;
            this.snapshot = snapshot;
        }

        void apply(Save s) {
            term = s.term();
            votedFor = s.votedFor();
            commit = Math.max(commit, s.commit());
            if (s.snapshot() != null) {
                snapshot = s.snapshot();
                entries.clear();
            }
            for (Entry e : s.entries()) {
                entries.tailMap(e.index(), true).clear();
                entries.put(e.index(), e);
            }
        }

        Saved read() {
            return new Saved(
                    incarnation,
                    term,
                    votedFor,
                    commit,
                    snapshot,
                    new ArrayList<>(entries.tailMap(snapshot.index(), false).values()));
        }
    }

    final class Node {
        final String name;
        final int number;
        final double rate;
        final long offset;
        DiskModel disk;
        Raft raft;
        LeaseManager duties;
        int life;
        boolean up, still;
        long applied, wakeAt;
        final List<Save> unsynced = new ArrayList<>();
        boolean syncing;
        final List<Runnable> late = new ArrayList<>(); // What comes while it stands still.

        Node(int number) {
            this.number = number;
            this.name = "d" + number;
            this.rate = 1 + (random.nextDouble() - 0.5) * set.clockDrift();
            this.offset = random.nextInt(1_000_000);
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        void start() {
            life++;
            up = true;
            syncing = false;
            unsynced.clear();
            raft = new Raft(RAFT, name, disk.read(), clock(), new Random(random.nextLong()));
            duties = new LeaseManager(
                    set,
                    name,
                    (long) life * 1_000_000_000L,
                    t -> "z" + Math.floorMod(t.hashCode(), 2),
                    z -> CACHES / 2);
            if (planted == Planted.LEASE_FROM_ANSWER || planted == Planted.LOAN_FROM_ANSWER) {
                duties.countValidityFrom((asked, answered) -> answered);
            }
            applied = disk.snapshot.index();
            pump();
        }

        void crash() {
            up = false;
            life++;
            late.clear();
            if (syncing && random.nextBoolean()) {
                unsynced.forEach(disk::apply); // It was on its way, and made it.
            }
            raft = null;
            duties = null;
        }

        // As the shell around the real ones does.
        void pump() {
            if (planted == Planted.NO_PRE_VOTE && raft.role() == Raft.Role.PRE_CANDIDATE) {
                for (Node n : nodes) {
                    raft.receive(
                            clock(),
                            n.name,
                            n.disk.incarnation,
                            new Message.VoteReply(raft.term() + 1, true, true, false));
                }
            }
            for (int round = 0; round < 8; round++) {
                Ready r = raft.take();
                if (r.save() != null) {
                    unsynced.add(r.save());
                    if (planted == Planted.SAID_BEFORE_SAVED) {
                        raft.saved(clock(), r.save().number());
                    }
                    sync();
                }
                r.messages().forEach(m -> send(this, m.to(), m.message()));
                boolean changed = apply(r);
                boolean asked = false;
                if (!raft.members().all().isEmpty()) {
                    Set<String> heard = raft.role() == Raft.Role.LEADER ? raft.recentlyActive(clock()) : null;
                    for (Command.Envelope s : duties.tick(
                            clock(), new LeaseManager.View(raft.members().all().keySet(), heard, now / MS))) {
                        offer(s);
                        asked = true;
                    }
                }
                if (!changed && !asked && r.save() == null && r.messages().isEmpty()) {
                    break;
                }
            }
            wake();
        }

        private boolean apply(Ready r) {
            boolean changed = r.snapshot() != null;
            try {
                if (r.snapshot() != null) {
                    duties.restore(clock(), ClusterState.decode(r.snapshot().state()));
                    applied = r.snapshot().index();
                }
                for (Entry e : r.committed()) {
                    check(e.index() == applied + 1, "out of order: " + e.index() + " after " + applied);
                    applied = e.index();
                    Entry before = agreed.putIfAbsent(e.index(), e);
                    check(
                            before == null
                                    || before.term() == e.term()
                                            && java.util.Arrays.equals(before.command(), e.command()),
                            "two entries agreed at " + e.index());
                    if (e.kind() == Entry.Kind.COMMAND) {
                        Command.Envelope s = CommandCodec.decode(e.command());
                        long held = duties.state().lease(LeaseNames.MAINTENANCE).token();
                        CommandOutcome result = duties.apply(
                                clock(),
                                e.index(),
                                planted == Planted.TOKEN_UNCHECKED || planted == Planted.WORD_UNCHECKED
                                        ? forged(s)
                                        : s);
                        if (before == null
                                && result.isApplied()
                                && (s.command() instanceof Command.RequestMaintenance
                                        || s.command() instanceof Command.ReinstateCache)) {
                            check(counted.add(s.proposer() + ' ' + s.id()), "an operator's word counted twice");
                        }
                        check(
                                !(s.command() instanceof Command.GrantMaintenance l)
                                        || l.token() == held
                                        || !result.isApplied(),
                                "an order with an older token took effect");
                        changed = true;
                    }
                }
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
            if (applied - raft.snapshotIndex() > 60) {
                Snapshot s = raft.snapshotAt(applied, duties.state().encode());
                if (s != null) {
                    disk.snapshot = s; // Written and renamed at once: nothing relies on it before.
                    disk.entries.headMap(s.index(), true).clear();
                    raft.compacted(s);
                }
            }
            return changed;
        }

        // As if the receiver did not look at the token, or at the words since.
        private Command.Envelope forged(Command.Envelope s) {
            ClusterState state = duties.state();
            Command c = s.command();
            if (planted == Planted.TOKEN_UNCHECKED) {
                c = c instanceof Command.GrantMaintenance l
                        ? new Command.GrantMaintenance(
                                l.target(),
                                l.request(),
                                state.lease(LeaseNames.MAINTENANCE).token(),
                                l.atUnixMs())
                        : c;
            } else if (c instanceof Command.ReinstateCache b) {
                c = new Command.ReinstateCache(b.target(), b.atUnixMs(), state.lastOperatorCommand(b.target()));
            } else if (c instanceof Command.RequestMaintenance a) {
                c = new Command.RequestMaintenance(
                        a.target(), a.zone(), a.atUnixMs(), state.lastOperatorCommand(a.target()));
            }
            return new Command.Envelope(s.proposer(), s.id(), c);
        }

        void offer(Command.Envelope s) {
            if (s.command() instanceof Command.GrantMaintenance || s.command() instanceof Command.CancelMaintenance) {
                acts++;
            }
            byte[] bytes = CommandCodec.encode(s);
            if (raft.role() == Raft.Role.LEADER) {
                raft.propose(clock(), bytes);
            } else if (raft.leader() != null) {
                Node to = node(raft.leader());
                at(
                        now + stopped(s.command()),
                        () -> carry(this, to, () -> {
                            to.raft.propose(to.clock(), bytes);
                            to.pump();
                        }));
            }
        }

        // Between the check of the lease and the sending a process can be stopped for any time.
        private long stopped(Command c) {
            return random.nextInt(c instanceof Command.GrantMaintenance ? 4 : 40) == 0 ? random.nextInt(3_000_000) : 0;
        }

        private void sync() {
            if (syncing) {
                return;
            }
            syncing = true;
            List<Save> group = List.copyOf(unsynced);
            at(now + 200 + random.nextInt(random.nextInt(20) == 0 ? 80_000 : 5_000), this, () -> {
                group.forEach(disk::apply);
                unsynced.removeAll(group);
                syncing = false;
                raft.saved(clock(), group.get(group.size() - 1).number());
                if (!unsynced.isEmpty()) {
                    sync();
                }
                pump();
            });
        }

        private void wake() {
            long next = Math.min(raft.wakeAt(), clock() + 20 * MS) - clock();
            long at = now + Math.max(500, (long) (next / rate));
            wakeAt = at;
            at(at, this, () -> {
                if (wakeAt == at) {
                    raft.tick(clock());
                    pump();
                }
            });
        }
    }

    final Random random;
    final Planted planted;
    final LeaseSettings set = new LeaseSettings(
            800 * MS,
            0.02,
            150 * MS,
            Set.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA),
            new LeaseSettings.MaintenanceBudget(2, 0, 3 * SECOND, true),
            new LeaseSettings.QuotaPolicy(400, 500 * MS));
    final List<Node> nodes = new ArrayList<>();
    final Map<Long, Entry> agreed = new HashMap<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<Long, String> leaders = new HashMap<>(); // By term.
    private final Set<Long> cut = new HashSet<>(); // Links, as from * 100 + to.
    private final Map<String, Long> greatestToken = new HashMap<>();
    private final Set<String> counted = new HashSet<>(); // Operators' words that took effect.
    double lossy;
    long now, order, acts, highestTerm, lentMost;
    String trouble;

    ClusterSim(long seed, int members, Planted planted) {
        this.random = new Random(seed);
        this.planted = planted;
        Map<String, String> names = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            nodes.add(new Node(i));
            names.put("d" + i, "");
        }
        Snapshot founding = new Snapshot(0, 0, Membership.bootstrap(names), new byte[0]);
        nodes.forEach(n -> n.disk = new DiskModel(Membership.BOOTSTRAP_INCARNATION, founding));
        nodes.forEach(Node::start);
    }

    Node node(String name) {
        return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow();
    }

    private void at(long time, Node n, Runnable run) {
        queue.add(new Event(time, order++, n.number, n.life, run));
    }

    void at(long time, Runnable run) {
        queue.add(new Event(time, order++, -1, 0, run));
    }

    private void send(Node from, String to, Message m) {
        Node n = node(to);
        long of = from.disk.incarnation;
        Message same = Codec.decode(Codec.encode(m)).orElse(null); // By way of its form on the wire.
        carry(from, n, () -> {
            n.raft.tick(n.clock());
            n.raft.receive(n.clock(), from.name, of, same);
            n.pump();
        });
    }

    private void carry(Node from, Node to, Runnable run) {
        int copies = random.nextDouble() < lossy ? 0 : random.nextDouble() < lossy ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long takes = 100 + random.nextInt(random.nextDouble() < lossy ? 400_000 : 3_000);
            at(now + takes, () -> {
                if (to.up && !cut.contains(from.number * 100L + to.number)) {
                    if (to.still) {
                        to.late.add(run);
                    } else {
                        run.run();
                    }
                }
            });
        }
    }

    void cut(Node from, Node to, boolean on) {
        if (on) {
            cut.add(from.number * 100L + to.number);
        } else {
            cut.remove(from.number * 100L + to.number);
        }
    }

    void heal() {
        cut.clear();
        lossy = 0;
        nodes.forEach(n -> {
            if (!n.up) {
                n.start();
            } else if (n.still) {
                goOn(n);
            }
        });
    }

    void stop(Node n) {
        n.still = true;
    }

    void goOn(Node n) {
        n.still = false;
        List<Runnable> late = List.copyOf(n.late);
        n.late.clear();
        int life = n.life;
        late.forEach(r -> {
            if (n.up && n.life == life) {
                r.run();
            }
        });
    }

    /** A member comes back without its folder. */
    void swap(Node n) {
        n.disk = new DiskModel(random.nextLong() | 2, Snapshot.EMPTY);
    }

    /** Plays on until a time, or until something is wrong. */
    void play(long until) {
        while (trouble == null && !queue.isEmpty() && queue.peek().at() <= until) {
            Event e = queue.poll();
            now = Math.max(now, e.at());
            if (e.node() >= 0) {
                Node n = nodes.get(e.node());
                if (!n.up || n.life != e.life()) {
                    continue;
                }
                if (n.still) {
                    n.late.add(e.run());
                    continue;
                }
            }
            e.run().run();
            always();
        }
        now = Math.max(now, until);
    }

    /** Plays on until something holds; false if it does not within so long. */
    boolean until(long most, java.util.function.BooleanSupplier holds) {
        long end = now + most;
        while (trouble == null && now < end && !holds.getAsBoolean()) {
            play(now + 20 * MS);
        }
        return holds.getAsBoolean();
    }

    private void check(boolean holds, String what) {
        if (!holds && trouble == null) {
            trouble = what + " at " + now;
        }
    }

    // What must hold at each moment.
    private void always() {
        Map<String, String> holding = new HashMap<>();
        long parts = 0;
        for (Node n : nodes) {
            if (!n.up) {
                parts += set.reservedThousandths();
                continue;
            }
            highestTerm = Math.max(highestTerm, n.raft.term());
            if (n.raft.role() == Raft.Role.LEADER) {
                String other = leaders.putIfAbsent(n.raft.term(), n.name);
                check(other == null || other.equals(n.name), "two leaders of term " + n.raft.term());
            }
            for (String duty : set.leaseNames()) {
                long token = n.duties.validToken(duty, n.clock());
                if (token > 0) {
                    String other = holding.put(duty, n.name);
                    check(other == null, "two hold " + duty + ": " + other + " and " + n.name);
                    long greatest = greatestToken.getOrDefault(duty, 0L);
                    check(token >= greatest, "token " + token + " of " + duty + " acts after " + greatest);
                    greatestToken.put(duty, Math.max(token, greatest));
                }
            }
            parts += n.duties.quotaThousandths(n.clock());
            lentMost = Math.max(lentMost, n.duties.state().grantedQuotaThousandths());
            for (int z = 0; z < 2; z++) {
                String zone = "z" + z;
                long out = n.duties.state().maintenanceRequests().values().stream()
                        .filter(t -> t.granted() && t.zone().equals(zone))
                        .count();
                check(out <= set.maintenanceBudget().maxDrained(), out + " out in " + zone);
            }
        }
        check(parts <= 1_000L * nodes.size(), "parts of " + parts);
    }

    /** Members that agree on who leads, or null. */
    String leader() {
        Set<String> named = new TreeSet<>();
        for (Node n : nodes) {
            named.add(n.up ? String.valueOf(n.raft.leader()) : "down");
        }
        return named.size() == 1 && !named.contains("null") && !named.contains("down")
                ? named.iterator().next()
                : null;
    }
}
