package pewtercourse.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A group of members on a simulated clock, driven by one seeded random generator. Messages are lost, delayed,
 * duplicated and reordered. Members crash, pause, lose their folders and restart with old copies of them. Leaders and
 * other members receive commands, reads, leadership transfers and membership changes. All outputs are traced.
 */
final class TracedGroup {
    private static final long MS = 1_000;
    static final RaftSettings SETTINGS = new RaftSettings(
            50 * MS,
            150 * MS,
            300 * MS,
            new RaftSettings.Replication(600, 8, 2, 16),
            new RaftSettings.Snapshots(150, 1 << 20, 4));
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 25;
    private static final int SPARE_MEMBERS = 2;

    private record Event(long dueAt, long number, Runnable action) {}

    private record Link(String from, String to) {}

    private final Random random;
    private final LeaseCommandSource commands;
    private final boolean restoresBackups;
    private final Trace trace = new Trace();
    private final Map<String, TracedMember> members = new TreeMap<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueAt).thenComparingLong(Event::number));
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private final Set<Link> blockedLinks = new HashSet<>();
    private final Map<Long, byte[]> committedEntries = new HashMap<>();
    private long now;
    private long lastEventNumber;
    private long lastReadId;
    private double lossRate;
    private double duplicateRate;
    private long maxDelayMicros = 2 * MS;
    private long maxSyncMicros = 2 * MS;

    /**
     * Creates the group and starts its members.
     *
     * @param restoresBackups whether members may restart with an older copy of their folder, which violates the
     *     assumptions of Raft
     */
    TracedGroup(long seed, int size, boolean restoresBackups) {
        this.random = new Random(seed);
        this.commands = new LeaseCommandSource(new Random(seed + 1));
        this.restoresBackups = restoresBackups;
        Map<String, String> addresses = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            addresses.put("m" + i, "h:" + i);
        }
        Snapshot bootstrap = new Snapshot(0, 0, Membership.bootstrap(addresses), new byte[0]);
        addresses
                .keySet()
                .forEach(name -> create(name, new SimulatedDisk(Membership.BOOTSTRAP_INCARNATION, bootstrap)));
        for (int i = size; i < size + SPARE_MEMBERS; i++) {
            create("m" + i, new SimulatedDisk(newIncarnation(), Snapshot.EMPTY));
        }
    }

    private void create(String name, SimulatedDisk disk) {
        TracedMember member = new TracedMember(name, random.nextInt(1_000_000), disk, trace);
        names.add(name);
        members.put(name, member);
        member.start(now, random.nextLong());
    }

    private long newIncarnation() {
        return 2 + random.nextInt(1_000_000);
    }

    /** Runs the group for this number of steps and returns the trace of all outputs. */
    Trace run(int steps) {
        for (int step = 0; step < steps; step++) {
            now += (1 + random.nextInt(5)) * MS;
            if (step % 400 == 0) {
                changeNetwork();
            }
            while (!events.isEmpty() && events.peek().dueAt() <= now) {
                events.poll().action().run();
            }
            members.values().stream().filter(this::isRunning).forEach(this::tickIfDue);
            injectRandomEvents();
            members.values().stream().filter(this::isRunning).forEach(this::carryOutReady);
            if (step % 8 == 0) {
                members.values().stream().filter(TracedMember::isUp).forEach(member -> member.traceStatus(now));
            }
        }
        return trace;
    }

    // ---- Time ----

    private void schedule(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, ++lastEventNumber, action));
    }

    private long randomMicros(long maxMicros) {
        return (long) (random.nextDouble() * maxMicros);
    }

    /** Whether the member is up and not paused. */
    private boolean isRunning(TracedMember member) {
        return member.isUp() && pausedUntil.getOrDefault(member.name, 0L) <= now;
    }

    private void tickIfDue(TracedMember member) {
        if (member.isTickDue(now) || chance(0.05)) {
            member.tick(now);
        }
    }

    // ---- Network and disks ----

    private void changeNetwork() {
        lossRate = List.of(0.0, 0.02, 0.15).get(random.nextInt(3));
        duplicateRate = random.nextInt(3) == 0 ? 0.1 : 0;
        maxDelayMicros = List.of(2, 10, 60).get(random.nextInt(3)) * MS;
        maxSyncMicros = List.of(1, 5, 40).get(random.nextInt(3)) * MS;
    }

    private void carryOutReady(TracedMember member) {
        for (Ready.OutgoingMessage sent : member.carryOutReady(this)) {
            byte[] frame = Codec.encode(sent.message()).toByteArray();
            send(member, sent.to(), frame);
            if (chance(duplicateRate)) {
                send(member, sent.to(), frame);
            }
        }
        Snapshot snapshot = member.takeSnapshotAfter(ENTRIES_BETWEEN_SNAPSHOTS);
        if (snapshot != null && chance(0.3)) {
            int startCount = member.startCount();
            schedule(
                    randomMicros(maxSyncMicros),
                    () -> runUnlessRestarted(member, startCount, () -> member.compact(snapshot)));
        }
    }

    private void send(TracedMember from, String to, byte[] frame) {
        TracedMember receiver = members.get(to);
        if (receiver == null || chance(lossRate) || blockedLinks.contains(new Link(from.name, to))) {
            return;
        }
        long incarnation = from.incarnation();
        schedule(randomMicros(maxDelayMicros), () -> deliver(receiver, from.name, incarnation, frame));
    }

    private void deliver(TracedMember to, String from, long incarnation, byte[] frame) {
        if (!to.isUp()) {
            return;
        }
        if (!isRunning(to)) {
            schedule(pausedUntil.get(to.name) - now, () -> deliver(to, from, incarnation, frame));
            return;
        }
        to.receive(now, from, incarnation, frame);
        if (chance(0.3)) {
            carryOutReady(to);
        }
    }

    /** Schedules a sync of the member's disk, which is dropped if the member restarts before. */
    void scheduleSync(TracedMember member) {
        int startCount = member.startCount();
        schedule(randomMicros(maxSyncMicros), () -> runUnlessRestarted(member, startCount, () -> member.sync(now)));
    }

    private void runUnlessRestarted(TracedMember member, int startCount, Runnable action) {
        if (member.isUp() && member.startCount() == startCount) {
            action.run();
        }
    }

    /** Fails if a different entry was committed at this index, unless members may restart with old folders. */
    void onCommitted(long index, byte[] entry) {
        byte[] committedBefore = committedEntries.putIfAbsent(index, entry);
        if (!restoresBackups && committedBefore != null && !Arrays.equals(committedBefore, entry)) {
            throw new AssertionError("two different entries were committed at index " + index);
        }
    }

    // ---- Random events ----

    private void injectRandomEvents() {
        if (chance(0.3)) {
            propose(pickLeaderOrAny(), 1);
        }
        if (chance(0.004)) {
            propose(pickLeaderOrAny(), 24);
        }
        if (chance(0.03)) {
            pickLeaderOrAny().read(now, ++lastReadId);
        }
        if (chance(0.006)) {
            transfer(pickLeaderOrAny());
        }
        if (chance(0.006)) {
            changeMembers(pickLeaderOrAny());
        }
        if (chance(0.004)) {
            isolate(pick(names));
        }
        if (chance(0.02)) {
            blockedLinks.clear();
        }
        if (chance(0.002)) {
            pausedUntil.put(pick(names), now + randomMicros(500 * MS));
        }
        if (chance(0.006)) {
            crashAndRestart(pick(names));
        }
        if (restoresBackups && chance(0.01)) {
            members.get(pick(names)).backUpFolder();
        }
    }

    /** Picks a leader in most cases, otherwise any member that is up. */
    private TracedMember pickLeaderOrAny() {
        List<TracedMember> upMembers =
                members.values().stream().filter(TracedMember::isUp).toList();
        List<TracedMember> leaders =
                upMembers.stream().filter(TracedMember::isLeader).toList();
        return leaders.isEmpty() || chance(0.15) ? pick(upMembers) : pick(leaders);
    }

    private void propose(TracedMember member, int count) {
        for (int i = 0; i < count; i++) {
            member.propose(now, commands.next(pick(names), member.encodedState(), names));
        }
    }

    private void transfer(TracedMember member) {
        String bestTarget = member.bestTransferTarget(now);
        member.transfer(now, bestTarget == null || chance(0.2) ? pick(names) : bestTarget);
        if (chance(0.5)) {
            propose(member, 1);
        }
    }

    private void changeMembers(TracedMember member) {
        String other = pick(names);
        boolean isMember = member.members().all().containsKey(other);
        if (isMember && member.members().all().size() > 3 && chance(0.7)) {
            member.removeMember(now, other);
        } else if (isMember && chance(0.3)) {
            member.removeMember(now, "nobody");
        } else {
            member.addMember(now, other, "h:" + other, knownIncarnation(other, member.members()));
        }
        if (chance(0.3)) {
            member.removeMember(now, pick(names));
        }
    }

    private long knownIncarnation(String name, Membership membership) {
        if (membership.all().containsKey(name)) {
            return membership.all().get(name).incarnation(); // Only the address changes.
        }
        return members.get(name).isUp() && chance(0.5) ? members.get(name).incarnation() : 0;
    }

    /** Blocks all links from the member, and most links to it. */
    private void isolate(String name) {
        for (String other : names) {
            blockedLinks.add(new Link(name, other));
            if (chance(0.7)) {
                blockedLinks.add(new Link(other, name));
            }
        }
    }

    /** Crashes the member unless another one is down; it restarts later, sometimes with a lost or an old folder. */
    private void crashAndRestart(String name) {
        TracedMember member = members.get(name);
        long downCount =
                members.values().stream().filter(other -> !other.isUp()).count();
        if (!member.isUp() || downCount > 0) {
            return;
        }
        boolean groupHealthy = members.values().stream().anyMatch(other -> other.isLeader() && other.isGroupHealthy());
        member.crash(random.nextInt(4));
        if (groupHealthy && chance(0.25)) {
            member.loseFolder(newIncarnation());
            trace.count("lost folder");
        } else if (restoresBackups && groupHealthy && chance(0.7) && member.restoreFolder()) {
            trace.count("restored folder");
        }
        schedule(randomMicros(600 * MS), () -> member.start(now, random.nextLong()));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
