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
 * A group of members on a virtual clock, driven by one seeded generator: messages are lost, late, doubled and out of
 * order; members crash, stand still, lose their folders and come back with old ones; commands, reads, transfers and
 * changes of the membership are asked of leaders and others. Everything that a member gives out is traced.
 */
final class TracedGroup {
    private static final long MS = 1_000;
    static final RaftSettings SETTINGS = new RaftSettings(50 * MS, 150 * MS, 300 * MS, 600, 8, 2, 16, 150, 1 << 20, 4);
    private static final int SNAPSHOT_EVERY = 25;
    private static final int SPARE_MEMBERS = 2;

    private record Event(long at, long number, Runnable action) {}

    private record Pair(String from, String to) {}

    private final Random random;
    private final LeaseCommandSource commands;
    private final boolean restoresBackups;
    private final Trace trace = new Trace();
    private final Map<String, TracedMember> members = new TreeMap<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<String, Long> stillUntil = new HashMap<>();
    private final Set<Pair> cut = new HashSet<>();
    private final Map<Long, byte[]> agreed = new HashMap<>();
    private long now;
    private long lastEvent;
    private long lastRead;
    private double lossRate;
    private double copyRate;
    private long delayMost = 2 * MS;
    private long syncMost = 2 * MS;

    /** {@code restoresBackups}: members may come back with an older copy of their folder, which breaks Raft's promises. */
    TracedGroup(long seed, int size, boolean restoresBackups) {
        this.random = new Random(seed);
        this.commands = new LeaseCommandSource(new Random(seed + 1));
        this.restoresBackups = restoresBackups;
        Map<String, String> addresses = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            addresses.put("m" + i, "h:" + i);
        }
        Snapshot first = new Snapshot(0, 0, Membership.founding(addresses), new byte[0]);
        addresses.keySet().forEach(name -> create(name, new SimulatedDisk(Membership.FOUNDING, first)));
        for (int i = size; i < size + SPARE_MEMBERS; i++) {
            create("m" + i, new SimulatedDisk(newIncarnation(), Snapshot.NOTHING));
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

    Trace run(int steps) {
        for (int step = 0; step < steps; step++) {
            now += (1 + random.nextInt(5)) * MS;
            if (step % 400 == 0) {
                changeNetwork();
            }
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            members.values().stream().filter(this::runs).forEach(this::tickIfDue);
            act();
            members.values().stream().filter(this::runs).forEach(this::pump);
            if (step % 8 == 0) {
                members.values().stream().filter(TracedMember::up).forEach(member -> member.observe(now));
            }
        }
        return trace;
    }

    // ---- Time ----

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, ++lastEvent, action));
    }

    private long drawn(long most) {
        return (long) (random.nextDouble() * most);
    }

    private boolean runs(TracedMember member) {
        return member.up() && stillUntil.getOrDefault(member.name, 0L) <= now;
    }

    private void tickIfDue(TracedMember member) {
        if (member.due(now) || chance(0.05)) {
            member.tick(now);
        }
    }

    // ---- Network and disks ----

    private void changeNetwork() {
        lossRate = List.of(0.0, 0.02, 0.15).get(random.nextInt(3));
        copyRate = random.nextInt(3) == 0 ? 0.1 : 0;
        delayMost = List.of(2, 10, 60).get(random.nextInt(3)) * MS;
        syncMost = List.of(1, 5, 40).get(random.nextInt(3)) * MS;
    }

    private void pump(TracedMember member) {
        for (Ready.Addressed sent : member.pump(this)) {
            byte[] frame = Codec.encode(sent.message()).toByteArray();
            send(member, sent.to(), frame);
            if (chance(copyRate)) {
                send(member, sent.to(), frame);
            }
        }
        Snapshot snapshot = member.snapshot(SNAPSHOT_EVERY);
        if (snapshot != null && chance(0.3)) {
            int start = member.starts();
            schedule(drawn(syncMost), () -> ifStill(member, start, () -> member.compact(snapshot)));
        }
    }

    private void send(TracedMember from, String to, byte[] frame) {
        TracedMember receiver = members.get(to);
        if (receiver == null || chance(lossRate) || cut.contains(new Pair(from.name, to))) {
            return;
        }
        long incarnation = from.incarnation();
        schedule(drawn(delayMost), () -> deliver(receiver, from.name, incarnation, frame));
    }

    private void deliver(TracedMember to, String from, long incarnation, byte[] frame) {
        if (!to.up()) {
            return;
        }
        if (!runs(to)) {
            schedule(stillUntil.get(to.name) - now, () -> deliver(to, from, incarnation, frame));
            return;
        }
        to.receive(now, from, incarnation, frame);
        if (chance(0.3)) {
            pump(to);
        }
    }

    void schedulesSync(TracedMember member) {
        int start = member.starts();
        schedule(drawn(syncMost), () -> ifStill(member, start, () -> member.sync(now)));
    }

    private void ifStill(TracedMember member, int start, Runnable action) {
        if (member.up() && member.starts() == start) {
            action.run();
        }
    }

    /** All members agree on each entry, unless one has come back with an old folder. */
    void agreed(long index, byte[] entry) {
        byte[] before = agreed.putIfAbsent(index, entry);
        if (!restoresBackups && before != null && !Arrays.equals(before, entry)) {
            throw new AssertionError("two entries agreed at " + index);
        }
    }

    // ---- What is done to the group ----

    private void act() {
        if (chance(0.3)) {
            propose(anyOrLeader(), 1);
        }
        if (chance(0.004)) {
            propose(anyOrLeader(), 24);
        }
        if (chance(0.03)) {
            anyOrLeader().read(now, ++lastRead);
        }
        if (chance(0.006)) {
            transfer(anyOrLeader());
        }
        if (chance(0.006)) {
            changeMembers(anyOrLeader());
        }
        if (chance(0.004)) {
            cut(pick(names));
        }
        if (chance(0.02)) {
            cut.clear();
        }
        if (chance(0.002)) {
            stillUntil.put(pick(names), now + drawn(500 * MS));
        }
        if (chance(0.006)) {
            stop(pick(names));
        }
        if (restoresBackups && chance(0.01)) {
            members.get(pick(names)).backUpFolder();
        }
    }

    private TracedMember anyOrLeader() {
        List<TracedMember> up =
                members.values().stream().filter(TracedMember::up).toList();
        List<TracedMember> leaders = up.stream().filter(TracedMember::leads).toList();
        return leaders.isEmpty() || chance(0.15) ? pick(up) : pick(leaders);
    }

    private void propose(TracedMember member, int count) {
        for (int i = 0; i < count; i++) {
            member.propose(now, commands.next(pick(names), member.wireState(), names));
        }
    }

    private void transfer(TracedMember member) {
        String best = member.bestTransferTarget(now);
        member.transfer(now, best == null || chance(0.2) ? pick(names) : best);
        if (chance(0.5)) {
            propose(member, 1);
        }
    }

    private void changeMembers(TracedMember member) {
        String other = pick(names);
        boolean present = member.members().all().containsKey(other);
        if (present && member.members().all().size() > 3 && chance(0.7)) {
            member.removeMember(now, other);
        } else if (present && chance(0.3)) {
            member.removeMember(now, "nobody");
        } else {
            member.addMember(now, other, "h:" + other, knownIncarnation(other, member.members()));
        }
        if (chance(0.3)) {
            member.removeMember(now, pick(names));
        }
    }

    private long knownIncarnation(String name, Membership known) {
        if (known.all().containsKey(name)) {
            return known.all().get(name).incarnation(); // Only its address is set anew.
        }
        return members.get(name).up() && chance(0.5) ? members.get(name).incarnation() : 0;
    }

    private void cut(String name) {
        for (String other : names) {
            cut.add(new Pair(name, other));
            if (chance(0.7)) {
                cut.add(new Pair(other, name));
            }
        }
    }

    private void stop(String name) {
        TracedMember member = members.get(name);
        long down = members.values().stream().filter(m -> !m.up()).count();
        if (!member.up() || down > 0) {
            return;
        }
        boolean well = members.values().stream().anyMatch(m -> m.leads() && m.groupIsWell());
        member.crash(random.nextInt(4));
        if (well && chance(0.25)) {
            member.loseFolder(newIncarnation());
            trace.count("lost folder");
        } else if (restoresBackups && well && chance(0.7) && member.restoreFolder()) {
            trace.count("old folder");
        }
        schedule(drawn(600 * MS), () -> member.start(now, random.nextLong()));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
