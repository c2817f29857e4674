package pewtercourse.raft;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** The leader's {@link Progress} of each other member, and what a majority of the voters has. Empty but on a leader. */
final class ProgressTracker {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RaftState state;
    private final Map<String, Progress> progress = new TreeMap<>();

    ProgressTracker(RaftState state) {
        this.state = state;
    }

    // ---- Which members ----

    /** This member leads from now on, and all others count as active at first. */
    void start(long now) {
        progress.clear();
        state.members().all().forEach((name, member) -> track(name, member, now));
    }

    void clear() {
        progress.clear();
    }

    /** The membership has changed: forgets who has left, and starts anew with who has another incarnation. */
    void membershipChanged() {
        Map<String, Membership.Member> members = state.members().all();
        progress.keySet().retainAll(members.keySet());
        members.forEach((name, member) -> {
            Progress known = progress.get(name);
            if (known == null || known.incarnation() != member.incarnation()) {
                track(name, member, known == null ? NEVER : known.lastActive());
            }
        });
    }

    private void track(String name, Membership.Member member, long lastActive) {
        if (!name.equals(state.self())) {
            long nextIndex = state.log().lastIndex() + 1;
            progress.put(name, new Progress(member.incarnation(), nextIndex, lastActive));
        }
    }

    /** Null for this member itself, for who is no member, and wherever this member doesn't lead. */
    Progress get(String name) {
        return progress.get(name);
    }

    /** In the order of the names. */
    void forEach(BiConsumer<String, Progress> action) {
        progress.forEach(action);
    }

    // ---- What they have ----

    /** Whether a majority of the voters, this member among them, has answered within the longest election timeout. */
    boolean isQuorumActive(long now) {
        long timeout = state.settings().maxElectionTimeoutMicros();
        Set<String> active = new HashSet<>();
        active.add(state.self());
        progress.forEach((name, member) -> {
            if (member.isActive(now, timeout) && isVoter(name, member)) {
                active.add(name);
            }
        });
        return state.members().isQuorum(active);
    }

    /** The voters of whom this holds, but for those that lost their log: what they say counts no more. */
    Set<String> votersWith(Predicate<Progress> condition) {
        Set<String> names = new HashSet<>();
        progress.forEach((name, member) -> {
            if (!member.lostLog() && isVoter(name, member) && condition.test(member)) {
                names.add(name);
            }
        });
        return names;
    }

    boolean isVoter(String name, Progress member) {
        return state.members().isVoter(name, member.incarnation());
    }

    /** The voter that has most of the log and answered within the shortest election timeout. */
    Optional<String> bestTransferCandidate(long now) {
        long timeout = state.settings().minElectionTimeoutMicros();
        return progress.entrySet().stream()
                .filter(e -> isVoter(e.getKey(), e.getValue()) && e.getValue().isActive(now, timeout))
                .max(Map.Entry.comparingByValue(Comparator.comparingLong(Progress::matchIndex)))
                .map(Map.Entry::getKey);
    }

    // ---- For status reports ----

    /** By member, how many entries it lacks. */
    Map<String, Long> lag() {
        Map<String, Long> lag = new TreeMap<>();
        progress.forEach((name, member) -> lag.put(name, state.log().lastIndex() - member.matchIndex()));
        return lag;
    }

    Set<String> withLostLog() {
        Set<String> names = new HashSet<>();
        progress.forEach((name, member) -> {
            if (member.lostLog()) {
                names.add(name);
            }
        });
        return names;
    }

    /** Other members, voters or not, that answered within the longest election timeout. */
    Set<String> recentlyActive(long now) {
        Set<String> names = new HashSet<>();
        progress.forEach((name, member) -> {
            if (member.isActive(now, state.settings().maxElectionTimeoutMicros())) {
                names.add(name);
            }
        });
        return names;
    }
}
