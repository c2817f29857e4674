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
 * Simulates the members of a cluster on a virtual clock. Their clocks run at different rates; links lose, duplicate, delay and
 * reorder messages or are cut in one direction; disks take time to sync; members pause, or crash and lose unsynced writes.
 * The invariants are checked after each step. Two simulations with the same seed give the same result.
 */
final class ClusterSim {
    /** Faults of the program that tests inject to show that the checks detect them. */
    enum InjectedFault {
        NONE,
        ACKNOWLEDGED_BEFORE_SAVED,
        LEASE_FROM_REPLY_TIME,
        TOKEN_UNCHECKED,
        NO_PRE_VOTE,
        LOAN_FROM_REPLY_TIME,
        COMMAND_ORDER_UNCHECKED
    }

    // Times of the simulation are in microseconds.
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;
    static final int CACHES = 12;
    private static final RaftSettings RAFT = new RaftSettings(
            50 * MS,
            150 * MS,
            300 * MS,
            new RaftSettings.Replication(4_096, 16, 4, 256),
            new RaftSettings.Snapshots(64, 1 << 20, 8));

    private record Event(long dueAt, long order, int node, int lifecycleEpoch, Runnable action) {}

    /** The state of a member that survives a crash. */
    private static final class DiskModel {
        final long incarnation;
        long term;
        long commit;
        String votedFor;
        Snapshot snapshot;
        final TreeMap<Long, Entry> entries = new TreeMap<>();

        DiskModel(long incarnation, Snapshot snapshot) {
            this.incarnation = incarnation;
            this.snapshot = snapshot;
        }

        void apply(Save save) {
            term = save.term();
            votedFor = save.votedFor();
            commit = Math.max(commit, save.commit());
            if (save.snapshot() != null) {
                snapshot = save.snapshot();
                entries.clear();
            }
            for (Entry entry : save.entries()) {
                entries.tailMap(entry.index(), true).clear();
                entries.put(entry.index(), entry);
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
        final double clockRate;
        final long clockOffset;
        DiskModel disk;
        Raft raft;
        LeaseManager leaseManager;
        int lifecycleEpoch;
        boolean isUp;
        boolean isPaused;
        long appliedIndex;
        long wakeAt;
        final List<Save> unsynced = new ArrayList<>();
        boolean syncing;
        final List<Runnable> deferredEvents = new ArrayList<>(); // Events that arrive during a pause.

        Node(int number) {
            this.number = number;
            this.name = "d" + number;
            this.clockRate = 1 + (random.nextDouble() - 0.5) * settings.clockDrift();
            this.clockOffset = random.nextInt(1_000_000);
        }

        long clock() {
            return clockOffset + (long) (now * clockRate);
        }

        void start() {
            lifecycleEpoch++;
            isUp = true;
            syncing = false;
            unsynced.clear();
            raft = new Raft(RAFT, name, disk.read(), clock(), new Random(random.nextLong()));
            leaseManager = new LeaseManager(
                    settings,
                    name,
                    (long) lifecycleEpoch * 1_000_000_000L,
                    () -> "",
                    t -> "z" + Math.floorMod(t.hashCode(), 2),
                    z -> CACHES / 2);
            if (injectedFault == InjectedFault.LEASE_FROM_REPLY_TIME
                    || injectedFault == InjectedFault.LOAN_FROM_REPLY_TIME) {
                leaseManager.countValidityFrom((requestedAt, answeredAt) -> answeredAt);
            }
            appliedIndex = disk.snapshot.index();
            pump();
        }

        void crash() {
            isUp = false;
            lifecycleEpoch++;
            deferredEvents.clear();
            if (syncing && random.nextBoolean()) {
                unsynced.forEach(disk::apply); // The write reached the disk before the crash.
            }
            raft = null;
            leaseManager = null;
        }

        // Saves, sends and applies the output of Raft, like the event loop of a real member.
        void pump() {
            if (injectedFault == InjectedFault.NO_PRE_VOTE && raft.role() == Raft.Role.PRE_CANDIDATE) {
                for (Node n : nodes) {
                    raft.receive(
                            clock(),
                            n.name,
                            n.disk.incarnation,
                            new Message.VoteReply(raft.term() + 1, true, true, false));
                }
            }
            for (int round = 0; round < 8; round++) {
                Ready ready = raft.take();
                if (ready.save() != null) {
                    unsynced.add(ready.save());
                    if (injectedFault == InjectedFault.ACKNOWLEDGED_BEFORE_SAVED) {
                        raft.saved(clock(), ready.save().number());
                    }
                    scheduleSync();
                }
                ready.messages().forEach(m -> send(this, m.to(), m.message()));
                boolean changed = apply(ready);
                boolean proposed = false;
                if (!raft.members().all().isEmpty()) {
                    Set<String> activeMembers = raft.role() == Raft.Role.LEADER ? raft.recentlyActive(clock()) : null;
                    for (Command.Envelope envelope : leaseManager.tick(
                            clock(), new LeaseManager.View(raft.members().all().keySet(), activeMembers, now / MS))) {
                        submit(envelope);
                        proposed = true;
                    }
                }
                if (!changed
                        && !proposed
                        && ready.save() == null
                        && ready.messages().isEmpty()) {
                    break;
                }
            }
            scheduleWakeup();
        }

        private boolean apply(Ready ready) {
            boolean changed = ready.snapshot() != null;
            try {
                if (ready.snapshot() != null) {
                    leaseManager.restore(
                            clock(), ClusterState.decode(ready.snapshot().state()));
                    appliedIndex = ready.snapshot().index();
                }
                for (Entry entry : ready.committed()) {
                    check(
                            entry.index() == appliedIndex + 1,
                            "entry applied out of order: " + entry.index() + " after " + appliedIndex);
                    appliedIndex = entry.index();
                    Entry firstCommitted = committedEntries.putIfAbsent(entry.index(), entry);
                    check(
                            firstCommitted == null
                                    || firstCommitted.term() == entry.term()
                                            && java.util.Arrays.equals(firstCommitted.command(), entry.command()),
                            "two different entries committed at " + entry.index());
                    if (entry.kind() == Entry.Kind.COMMAND) {
                        Command.Envelope envelope = CommandCodec.decode(entry.command());
                        long currentToken = leaseManager
                                .state()
                                .lease(LeaseNames.MAINTENANCE)
                                .token();
                        CommandOutcome result = leaseManager.apply(
                                clock(),
                                entry.index(),
                                injectedFault == InjectedFault.TOKEN_UNCHECKED
                                                || injectedFault == InjectedFault.COMMAND_ORDER_UNCHECKED
                                        ? withCurrentPreconditions(envelope)
                                        : envelope);
                        if (firstCommitted == null
                                && result.isApplied()
                                && (envelope.command() instanceof Command.RequestMaintenance
                                        || envelope.command() instanceof Command.ReinstateCache)) {
                            check(
                                    appliedOperatorCommands.add(envelope.proposer() + ' ' + envelope.id()),
                                    "operator's command applied twice: " + envelope.id());
                        }
                        check(
                                !(envelope.command() instanceof Command.GrantMaintenance grant)
                                        || grant.token() == currentToken
                                        || !result.isApplied(),
                                "command with an outdated token applied");
                        changed = true;
                    }
                }
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
            if (appliedIndex - raft.snapshotIndex() > 60) {
                Snapshot snapshot =
                        raft.snapshotAt(appliedIndex, leaseManager.state().encode());
                if (snapshot != null) {
                    disk.snapshot = snapshot; // Takes no time: nothing uses the new file before its rename.
                    disk.entries.headMap(snapshot.index(), true).clear();
                    raft.compacted(snapshot);
                }
            }
            return changed;
        }

        // Replaces the expected token or operator's command by the current one, so that its check always passes.
        private Command.Envelope withCurrentPreconditions(Command.Envelope envelope) {
            ClusterState state = leaseManager.state();
            Command command = envelope.command();
            if (injectedFault == InjectedFault.TOKEN_UNCHECKED) {
                command = command instanceof Command.GrantMaintenance grant
                        ? new Command.GrantMaintenance(
                                grant.target(),
                                grant.request(),
                                state.lease(LeaseNames.MAINTENANCE).token(),
                                grant.atUnixMs())
                        : command;
            } else if (command instanceof Command.ReinstateCache reinstate) {
                command = new Command.ReinstateCache(
                        reinstate.target(), reinstate.atUnixMs(), state.lastOperatorCommand(reinstate.target()));
            } else if (command instanceof Command.RequestMaintenance request) {
                command = new Command.RequestMaintenance(
                        request.target(),
                        request.zone(),
                        request.atUnixMs(),
                        state.lastOperatorCommand(request.target()));
            }
            return new Command.Envelope(envelope.proposer(), envelope.id(), command);
        }

        void submit(Command.Envelope envelope) {
            if (envelope.command() instanceof Command.GrantMaintenance
                    || envelope.command() instanceof Command.CancelMaintenance) {
                maintenanceCommandCount++;
            }
            byte[] bytes = CommandCodec.encode(envelope);
            if (raft.role() == Raft.Role.LEADER) {
                raft.propose(clock(), bytes);
            } else if (raft.leader() != null) {
                Node leader = node(raft.leader());
                schedule(
                        now + randomPauseMicros(envelope.command()),
                        () -> deliver(this, leader, () -> {
                            leader.raft.propose(leader.clock(), bytes);
                            leader.pump();
                        }));
            }
        }

        // A process can pause for any time between the check of its lease and the sending of the command.
        private long randomPauseMicros(Command command) {
            return random.nextInt(command instanceof Command.GrantMaintenance ? 4 : 40) == 0
                    ? random.nextInt(3_000_000)
                    : 0;
        }

        private void scheduleSync() {
            if (syncing) {
                return;
            }
            syncing = true;
            List<Save> group = List.copyOf(unsynced);
            schedule(now + 200 + random.nextInt(random.nextInt(20) == 0 ? 80_000 : 5_000), this, () -> {
                group.forEach(disk::apply);
                unsynced.removeAll(group);
                syncing = false;
                raft.saved(clock(), group.get(group.size() - 1).number());
                if (!unsynced.isEmpty()) {
                    scheduleSync();
                }
                pump();
            });
        }

        private void scheduleWakeup() {
            long delay = Math.min(raft.wakeAt(), clock() + 20 * MS) - clock();
            long dueAt = now + Math.max(500, (long) (delay / clockRate));
            wakeAt = dueAt;
            schedule(dueAt, this, () -> {
                if (wakeAt == dueAt) {
                    raft.tick(clock());
                    pump();
                }
            });
        }
    }

    final Random random;
    final InjectedFault injectedFault;
    final LeaseSettings settings = new LeaseSettings(
            800 * MS,
            0.02,
            150 * MS,
            Set.of(LeaseNames.MAINTENANCE, LeaseNames.QUOTA),
            new LeaseSettings.MaintenanceBudget(2, 0, 3 * SECOND, true),
            new LeaseSettings.QuotaPolicy(400, 500 * MS));
    final List<Node> nodes = new ArrayList<>();
    final Map<Long, Entry> committedEntries = new HashMap<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.dueAt() != b.dueAt() ? Long.compare(a.dueAt(), b.dueAt()) : Long.compare(a.order(), b.order()));
    private final Map<Long, String> leaderByTerm = new HashMap<>();
    private final Set<Long> cutLinks = new HashSet<>(); // Sender's number * 100 + receiver's number.
    private final Map<String, Long> highestTokenByLease = new HashMap<>();
    private final Set<String> appliedOperatorCommands = new HashSet<>();
    double faultProbability;
    long now;
    long nextEventOrder;
    long maintenanceCommandCount;
    long highestTerm;
    long maxGrantedQuotaThousandths;
    String violation;

    ClusterSim(long seed, int members, InjectedFault injectedFault) {
        this.random = new Random(seed);
        this.injectedFault = injectedFault;
        Map<String, String> addressByName = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            nodes.add(new Node(i));
            addressByName.put("d" + i, "");
        }
        Snapshot founding = new Snapshot(0, 0, Membership.bootstrap(addressByName), new byte[0]);
        nodes.forEach(n -> n.disk = new DiskModel(Membership.BOOTSTRAP_INCARNATION, founding));
        nodes.forEach(Node::start);
    }

    Node node(String name) {
        return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow();
    }

    private void schedule(long time, Node n, Runnable action) {
        queue.add(new Event(time, nextEventOrder++, n.number, n.lifecycleEpoch, action));
    }

    void schedule(long time, Runnable action) {
        queue.add(new Event(time, nextEventOrder++, -1, 0, action));
    }

    private void send(Node from, String to, Message message) {
        Node receiver = node(to);
        long senderIncarnation = from.disk.incarnation;
        Message decoded = Codec.decode(Codec.encode(message)).orElse(null); // Passes through the wire format.
        deliver(from, receiver, () -> {
            receiver.raft.tick(receiver.clock());
            receiver.raft.receive(receiver.clock(), from.name, senderIncarnation, decoded);
            receiver.pump();
        });
    }

    private void deliver(Node from, Node to, Runnable action) {
        int copies = random.nextDouble() < faultProbability ? 0 : random.nextDouble() < faultProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long latency = 100 + random.nextInt(random.nextDouble() < faultProbability ? 400_000 : 3_000);
            schedule(now + latency, () -> {
                if (to.isUp && !cutLinks.contains(from.number * 100L + to.number)) {
                    if (to.isPaused) {
                        to.deferredEvents.add(action);
                    } else {
                        action.run();
                    }
                }
            });
        }
    }

    void setLinkCut(Node from, Node to, boolean isCut) {
        if (isCut) {
            cutLinks.add(from.number * 100L + to.number);
        } else {
            cutLinks.remove(from.number * 100L + to.number);
        }
    }

    void heal() {
        cutLinks.clear();
        faultProbability = 0;
        nodes.forEach(n -> {
            if (!n.isUp) {
                n.start();
            } else if (n.isPaused) {
                resume(n);
            }
        });
    }

    void pause(Node n) {
        n.isPaused = true;
    }

    void resume(Node n) {
        n.isPaused = false;
        List<Runnable> deferred = List.copyOf(n.deferredEvents);
        n.deferredEvents.clear();
        int epoch = n.lifecycleEpoch;
        deferred.forEach(r -> {
            if (n.isUp && n.lifecycleEpoch == epoch) {
                r.run();
            }
        });
    }

    /** Replaces the disk of a member by an empty one. */
    void replaceDisk(Node n) {
        n.disk = new DiskModel(random.nextLong() | 2, Snapshot.EMPTY);
    }

    /** Runs the simulation up to a time, or until an invariant is violated. */
    void runTo(long endTime) {
        while (violation == null && !queue.isEmpty() && queue.peek().dueAt() <= endTime) {
            Event event = queue.poll();
            now = Math.max(now, event.dueAt());
            if (event.node() >= 0) {
                Node n = nodes.get(event.node());
                if (!n.isUp || n.lifecycleEpoch != event.lifecycleEpoch()) {
                    continue;
                }
                if (n.isPaused) {
                    n.deferredEvents.add(event.action());
                    continue;
                }
            }
            event.action().run();
            checkInvariants();
        }
        now = Math.max(now, endTime);
    }

    /** Runs the simulation until the condition holds; returns false if it does not hold within the time limit. */
    boolean runUntil(long timeLimit, java.util.function.BooleanSupplier condition) {
        long end = now + timeLimit;
        while (violation == null && now < end && !condition.getAsBoolean()) {
            runTo(now + 20 * MS);
        }
        return condition.getAsBoolean();
    }

    private void check(boolean holds, String description) {
        if (!holds && violation == null) {
            violation = description + " at " + now;
        }
    }

    // Checks the invariants that hold after each event.
    private void checkInvariants() {
        Map<String, String> holderByLease = new HashMap<>();
        long quotaSum = 0;
        for (Node n : nodes) {
            if (!n.isUp) {
                quotaSum += settings.reservedThousandths();
                continue;
            }
            highestTerm = Math.max(highestTerm, n.raft.term());
            if (n.raft.role() == Raft.Role.LEADER) {
                String other = leaderByTerm.putIfAbsent(n.raft.term(), n.name);
                check(other == null || other.equals(n.name), "two leaders of term " + n.raft.term());
            }
            for (String lease : settings.leaseNames()) {
                long token = n.leaseManager.validToken(lease, n.clock());
                if (token > 0) {
                    String other = holderByLease.put(lease, n.name);
                    check(other == null, "two holders of " + lease + ": " + other + " and " + n.name);
                    long highest = highestTokenByLease.getOrDefault(lease, 0L);
                    check(token >= highest, "token " + token + " of " + lease + " is valid after " + highest);
                    highestTokenByLease.put(lease, Math.max(token, highest));
                }
            }
            quotaSum += n.leaseManager.quotaThousandths(n.clock());
            maxGrantedQuotaThousandths =
                    Math.max(maxGrantedQuotaThousandths, n.leaseManager.state().grantedQuotaThousandths());
            for (int z = 0; z < 2; z++) {
                String zone = "z" + z;
                long grantedCount = n.leaseManager.state().maintenanceRequests().values().stream()
                        .filter(t -> t.granted() && t.zone().equals(zone))
                        .count();
                check(
                        grantedCount <= settings.maintenanceBudget().maxDrained(),
                        grantedCount + " caches drained in " + zone);
            }
        }
        check(quotaSum <= 1_000L * nodes.size(), "sum of quotas in thousandths is " + quotaSum);
    }

    /** Returns the leader that all members name, or null if they differ or a member is down. */
    String leader() {
        Set<String> leaderNames = new TreeSet<>();
        for (Node n : nodes) {
            leaderNames.add(n.isUp ? String.valueOf(n.raft.leader()) : "down");
        }
        return leaderNames.size() == 1 && !leaderNames.contains("null") && !leaderNames.contains("down")
                ? leaderNames.iterator().next()
                : null;
    }
}
