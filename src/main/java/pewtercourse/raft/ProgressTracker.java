package pewtercourse.raft;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The leader's {@link Progress} of each other member, and queries about them. Empty unless this member is the leader.
 */
final class ProgressTracker {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final RaftState state;
    private final Map<String, Progress> progressByMember = new TreeMap<>();

    ProgressTracker(RaftState state) {
        this.state = state;
    }

    // ---- Tracked members ----

    /** Tracks all other members at the start of this member's leadership; at first all of them count as active. */
    void reset(long now) {
        progressByMember.clear();
        state.members().all().forEach((name, member) -> track(name, member, now));
    }

    void clear() {
        progressByMember.clear();
    }

    /** The membership has changed: drops removed members and resets the progress of those with a new incarnation. */
    void onMembershipChanged() {
        Map<String, Membership.Member> members = state.members().all();
        progressByMember.keySet().retainAll(members.keySet());
        members.forEach((name, member) -> {
            Progress existing = progressByMember.get(name);
            if (existing == null || existing.incarnation() != member.incarnation()) {
                track(name, member, existing == null ? NEVER : existing.lastActiveAt());
            }
        });
    }

    private void track(String name, Membership.Member member, long lastActiveAt) {
        if (!name.equals(state.self())) {
            long nextIndex = state.log().lastIndex() + 1;
            progressByMember.put(name, new Progress(member.incarnation(), nextIndex, lastActiveAt));
        }
    }

    /** Returns null for this member itself, for an unknown name, and if this member is not the leader. */
    Progress get(String name) {
        return progressByMember.get(name);
    }

    /** Calls the action for each other member, in the order of the names. */
    void forEach(BiConsumer<String, Progress> action) {
        progressByMember.forEach(action);
    }

    // ---- Quorums ----

    /** Whether a majority of the voters, including this member, has replied within the longest election timeout. */
    boolean isQuorumActive(long now) {
        long timeoutMicros = state.settings().maxElectionTimeoutMicros();
        Set<String> active = new HashSet<>();
        active.add(state.self());
        progressByMember.forEach((name, progress) -> {
            if (progress.isActive(now, timeoutMicros) && isVoter(name, progress)) {
                active.add(name);
            }
        });
        return state.members().isQuorum(active);
    }

    /**
     * Returns the other voters that meet the condition, without those that lost their log: their replies do not count.
     */
    Set<String> votersMatching(Predicate<Progress> condition) {
        Set<String> names = new HashSet<>();
        progressByMember.forEach((name, progress) -> {
            if (!progress.lostLog() && isVoter(name, progress) && condition.test(progress)) {
                names.add(name);
            }
        });
        return names;
    }

    /** Whether the tracked incarnation of the member is a voter. */
    boolean isVoter(String name, Progress progress) {
        return state.members().isVoter(name, progress.incarnation());
    }

    /** Returns the voter with the highest match index among those that replied within the shortest election timeout. */
    Optional<String> bestTransferCandidate(long now) {
        long timeoutMicros = state.settings().minElectionTimeoutMicros();
        return progressByMember.entrySet().stream()
                .filter(entry -> isVoter(entry.getKey(), entry.getValue())
                        && entry.getValue().isActive(now, timeoutMicros))
                .max(Map.Entry.comparingByValue(Comparator.comparingLong(Progress::matchIndex)))
                .map(Map.Entry::getKey);
    }

    // ---- For status reports ----

    /** The number of entries that each other member lacks. */
    Map<String, Long> lag() {
        Map<String, Long> lag = new TreeMap<>();
        progressByMember.forEach((name, progress) -> lag.put(name, state.log().lastIndex() - progress.matchIndex()));
        return lag;
    }

    /** The members that lack entries which they acknowledged as saved. */
    Set<String> membersWithLostLog() {
        Set<String> names = new HashSet<>();
        progressByMember.forEach((name, progress) -> {
            if (progress.lostLog()) {
                names.add(name);
            }
        });
        return names;
    }

    /** The other members, voters and learners, that replied within the longest election timeout. */
    Set<String> recentlyActive(long now) {
        Set<String> names = new HashSet<>();
        progressByMember.forEach((name, progress) -> {
            if (progress.isActive(now, state.settings().maxElectionTimeoutMicros())) {
                names.add(name);
            }
        });
        return names;
    }
}
