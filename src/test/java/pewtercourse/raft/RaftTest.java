package pewtercourse.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Members whose messages arrive at once and whose saves are done at once, but where a test says otherwise. */
class RaftTest {
    private static final long MS = 1_000;
    private static final RaftSettings SET = new RaftSettings(
            50 * MS,
            150 * MS,
            300 * MS,
            new RaftSettings.Replication(4_096, 16, 4, 64),
            new RaftSettings.Snapshots(8, 1 << 20, 4));

    private record Letter(String from, String to, Message m) {}

    private final Map<String, Raft> members = new TreeMap<>();
    private final Map<String, List<String>> applied = new TreeMap<>();
    private final Map<String, Long> incarnations = new TreeMap<>();
    private final Map<String, Long> unsaved = new TreeMap<>();
    private final Deque<Letter> post = new ArrayDeque<>();
    private final Set<String> away = new HashSet<>(), slowDisks = new HashSet<>();
    private final List<Ready.ReadResult> reads = new ArrayList<>();
    private long now;

    private void found(int size) {
        Map<String, String> names = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            names.put("m" + i, "");
        }
        Snapshot first = new Snapshot(0, 0, Membership.bootstrap(names), new byte[0]);
        names.keySet().forEach(n -> join(n, new Saved(Membership.BOOTSTRAP_INCARNATION, 0, null, 0, first, List.of())));
    }

    private void join(String name, Saved saved) {
        incarnations.put(name, saved.incarnation());
        applied.put(name, new ArrayList<>());
        members.put(name, new Raft(SET, name, saved, now, new Random(name.hashCode())));
    }

    private void settle() {
        boolean busy = true;
        while (busy) {
            busy = false;
            for (Map.Entry<String, Raft> e : members.entrySet()) {
                busy |= carryOut(e.getKey(), e.getValue());
            }
            while (!post.isEmpty()) {
                Letter l = post.poll();
                if (!away.contains(l.from()) && !away.contains(l.to()) && members.containsKey(l.to())) {
                    members.get(l.to()).receive(now, l.from(), incarnations.get(l.from()), l.m());
                    busy = true;
                }
            }
        }
    }

    private boolean carryOut(String name, Raft raft) {
        Ready r = raft.take();
        r.messages().forEach(a -> post.add(new Letter(name, a.to(), a.message())));
        if (r.snapshot() != null && r.snapshot().index() > 0) {
            applied.get(name).clear();
            applied.get(name).addAll(List.of(new String(r.snapshot().state()).split(",")));
        }
        r.committed().stream()
                .filter(e -> e.kind() == Entry.Kind.COMMAND)
                .forEach(e -> applied.get(name).add(new String(e.command())));
        reads.addAll(r.reads());
        if (r.save() != null && slowDisks.contains(name)) {
            unsaved.put(name, r.save().number());
        } else if (r.save() != null) {
            raft.saved(now, r.save().number());
        }
        return r.save() != null || !r.messages().isEmpty() || !r.committed().isEmpty();
    }

    private void pass(long ms) {
        for (long end = now + ms * MS; now < end; now += 5 * MS) {
            members.forEach((n, r) -> r.tick(now));
            settle();
        }
    }

    private Raft leader() {
        List<Raft> leaders = members.entrySet().stream()
                .filter(e -> !away.contains(e.getKey()))
                .map(Map.Entry::getValue)
                .filter(r -> r.role() == Raft.Role.LEADER)
                .toList();
        assertEquals(1, leaders.size());
        return leaders.get(0);
    }

    private String name(Raft r) {
        return members.entrySet().stream()
                .filter(e -> e.getValue() == r)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private void say(String command) {
        assertNull(leader().propose(now, command.getBytes()).rejection());
        settle();
    }

    @Test
    void whatIsAgreedIsAppliedByAllInOrder() {
        found(3);
        pass(1_000);
        say("a");
        say("b");
        pass(200);
        applied.values().forEach(a -> assertEquals(List.of("a", "b"), a));
    }

    @Test
    void aLeaderWithoutAMajorityStepsDownAndTakesNothingIn() {
        found(3);
        pass(1_000);
        Raft leader = leader();
        away.addAll(members.keySet());
        now += 400 * MS; // As if it had been stopped: it looks before it acts.
        assertEquals(
                Raft.Rejection.NOT_LEADER, leader.propose(now, "x".getBytes()).rejection());
        leader.tick(now);
        assertEquals(Raft.Role.FOLLOWER, leader.role());
    }

    @Test
    void readsAreConfirmedByAMajorityOnly() {
        found(3);
        pass(1_000);
        Raft leader = leader();
        assertNull(leader.read(now, 1));
        settle();
        assertTrue(reads.get(0).confirmed());
        members.keySet().stream().filter(n -> members.get(n) != leader).forEach(away::add);
        assertNull(leader.read(now, 2));
        pass(400);
        assertFalse(reads.get(1).confirmed());
    }

    @Test
    void whatIsNotSavedIsNotCounted() {
        found(3);
        pass(1_000);
        Raft leader = leader();
        slowDisks.addAll(members.keySet());
        assertNull(leader.propose(now, "a".getBytes()).rejection());
        settle();
        assertTrue(applied.values().stream().allMatch(List::isEmpty), "on no disk yet");
        String follower = members.keySet().stream()
                .filter(n -> members.get(n) != leader)
                .findFirst()
                .orElseThrow();
        members.get(follower).saved(now, unsaved.get(follower));
        settle();
        assertTrue(applied.values().stream().allMatch(List::isEmpty), "on one disk of three");
        leader.saved(now, unsaved.get(name(leader)));
        settle();
        assertEquals(List.of("a"), applied.get(name(leader)));
    }

    @Test
    void leadershipIsHandedOnWithoutAWait() {
        found(5);
        pass(1_000);
        Raft before = leader();
        String heir = before.bestTransferCandidate(now).orElse(null);
        assertNull(before.transferLeadership(now, heir));
        assertEquals(
                Raft.Rejection.TRANSFERRING, before.propose(now, "x".getBytes()).rejection());
        settle();
        assertEquals(heir, name(leader()));
        say("a");
        assertEquals(Raft.Rejection.INELIGIBLE_MEMBER, leader().transferLeadership(now, "nobody"));
    }

    @Test
    void membersComeOneAtATimeAsLearnersAndGo() {
        found(3);
        pass(1_000);
        for (int i = 0; i < 40; i++) {
            say("c" + i);
        }
        String leader = name(leader());
        Snapshot s = members.get(leader)
                .snapshotAt(
                        members.get(leader).commitIndex(),
                        String.join(",", applied.get(leader)).getBytes());
        members.get(leader).compacted(s); // So that the newcomer needs it, in parts of eight bytes.
        join("new", new Saved(77, 0, null, 0, Snapshot.EMPTY, List.of()));
        assertNull(leader().addMember(now, "new", "a:1", 0).rejection());
        assertEquals(
                Raft.Rejection.MEMBERSHIP_CHANGE_PENDING,
                leader().addMember(now, "other", "a:2", 0).rejection());
        pass(3_000);
        assertEquals(4, leader().members().voterCount(), "with the incarnation that it told");
        assertTrue(leader().members().isVoter("new", 77));
        assertEquals(applied.get(leader), applied.get("new"));
        assertNull(leader().removeMember(now, leader).rejection());
        pass(1_500);
        assertEquals(3, leader().members().voterCount());
        say("after");
        pass(1_000);
        assertTrue(applied.get("new").contains("after"));
        assertTrue(members.get(leader).isNonMember(), "it learns that it was removed");
    }

    // A member was killed in reliance on the status of a leader that then died too: nobody could be elected any more.
    @Test
    void aNewcomersVoteIsToldOnlyOnceItIsAgreed() {
        found(3);
        pass(1_000);
        Raft leader = leader();
        String lost = members.keySet().stream()
                .filter(n -> members.get(n) != leader)
                .findFirst()
                .orElseThrow();
        assertTrue(leader.isCommittedVoter(lost));
        join(lost, new Saved(77, 0, null, 0, Snapshot.EMPTY, List.of())); // Its folder is lost: it learns anew.
        tickUntilPromoted(leader, lost, 77);
        assertFalse(leader.isCommittedVoter(lost), "its promotion is in the leader's log alone");
        away.add(name(leader));
        pass(3_000);
        assertEquals(0, leadersPresent(), "it has no vote yet by what the other knows");
        away.clear();
        pass(1_000);
        assertTrue(leader().isCommittedVoter(lost));
        away.add(name(leader()));
        pass(2_000);
        assertEquals(1, leadersPresent(), "now the others bear the loss of any one");
    }

    /** Stops before anybody hears of the promotion. */
    private void tickUntilPromoted(Raft leader, String name, long incarnation) {
        for (int ticks = 0; ticks < 1_000 && !leader.members().isVoter(name, incarnation); ticks++) {
            settle();
            now += 5 * MS;
            members.forEach((n, r) -> r.tick(now));
        }
        assertTrue(leader.members().isVoter(name, incarnation));
    }

    private long leadersPresent() {
        return members.entrySet().stream()
                .filter(e -> !away.contains(e.getKey()))
                .filter(e -> e.getValue().role() == Raft.Role.LEADER)
                .count();
    }

    @Test
    void aLeaderCountsNoMemberThatLostWhatItHadSaved() {
        found(3);
        pass(1_000);
        say("a");
        Raft leader = leader();
        String follower = members.keySet().stream()
                .filter(n -> members.get(n) != leader)
                .findFirst()
                .orElseThrow();
        // Its folder is an old copy: the same incarnation, and less in it.
        join(
                follower,
                new Saved(
                        Membership.BOOTSTRAP_INCARNATION,
                        0,
                        null,
                        0,
                        new Snapshot(0, 0, leader.members(), new byte[0]),
                        List.of()));
        pass(300);
        assertEquals(Set.of(follower), leader.membersWithLostLog());
    }

    @Test
    void atMostSoMuchIsUnderWay() {
        found(3);
        pass(1_000);
        Raft leader = leader();
        members.keySet().stream().filter(n -> members.get(n) != leader).forEach(away::add);
        int taken = 0;
        while (leader.propose(now, "x".getBytes()).rejection() == null && taken < 1_000) {
            taken++;
        }
        assertEquals(64, taken);
    }
}
