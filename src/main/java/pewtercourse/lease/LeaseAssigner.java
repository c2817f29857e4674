package pewtercourse.lease;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's part: assigns vacant leases to members that it hears, spread by rendezvous hashing (Thaler and
 * Ravishankar, 1998) with no more than an equal share for each, moves a lease back only to a member that it has heard
 * without a break for long, and reports absent members. Times are microseconds of the member's own clock.
 */
final class LeaseAssigner {
    // All in lease durations: not heard for so long a member is reported absent, heard for so long present again, and
    // heard for so long it counts as stable.
    private static final double ABSENT_LEASES = 2;
    private static final double PRESENT_LEASES = 1;
    private static final double STABLE_LEASES = 10;

    private enum Kind {
        ABSENCE,
        ASSIGNMENT,
        TRANSFER
    }

    /** What a command is about; only one transfer is under way at a time. */
    private record Topic(Kind kind, String subject) {
        static final Topic TRANSFER = new Topic(Kind.TRANSFER, "");
    }

    private final LeaseSettings settings;
    private final Map<String, Long> activeSince = new HashMap<>();
    private final Map<String, Long> silentSince = new HashMap<>();
    private final RetryThrottle<Topic> throttle;

    LeaseAssigner(LeaseSettings settings) {
        this.settings = settings;
        this.throttle = new RetryThrottle<>(settings.retryMicros());
    }

    /** This member does not lead, or no longer: what it knew of the others is void. */
    void reset() {
        activeSince.clear();
        silentSince.clear();
        throttle.clear();
    }

    /** What the leader proposes now; {@code active}: members that answered lately. */
    List<Command> orders(long now, ClusterState state, LeaseWatch watch, Set<String> members, Set<String> active) {
        trackActivity(now, members, active);
        throttle.expire(now);
        List<Command> orders = new ArrayList<>();
        reportAbsences(now, state, members, orders);
        Set<String> candidates = new TreeSet<>(active);
        candidates.retainAll(members);
        candidates.removeAll(state.ineligibleMembers());
        if (!candidates.isEmpty()) {
            Map<String, String> holders = holders(state);
            assignVacant(now, state, watch, candidates, holders, orders);
            rebalance(now, state, candidates, holders, orders);
        }
        return orders;
    }

    private void trackActivity(long now, Set<String> members, Set<String> active) {
        activeSince.keySet().retainAll(active);
        silentSince.keySet().removeAll(active);
        silentSince.keySet().retainAll(members);
        active.forEach(member -> activeSince.putIfAbsent(member, now));
        Set<String> silent = new HashSet<>(members);
        silent.removeAll(active);
        silent.forEach(member -> silentSince.putIfAbsent(member, now));
    }

    private void reportAbsences(long now, ClusterState state, Set<String> members, List<Command> orders) {
        for (String member : members) {
            boolean absent = state.absentMembers().contains(member);
            Long since = absent ? activeSince.get(member) : silentSince.get(member);
            double leases = absent ? PRESENT_LEASES : ABSENT_LEASES;
            if (since != null && now - since > leases * settings.durationMicros()) {
                reportAbsence(now, member, !absent, orders);
            }
        }
        for (String member : state.absentMembers()) {
            if (!members.contains(member)) {
                reportAbsence(now, member, false, orders); // It was removed from the cluster.
            }
        }
    }

    private void reportAbsence(long now, String member, boolean absent, List<Command> orders) {
        if (throttle.tryPropose(new Topic(Kind.ABSENCE, member), now)) {
            orders.add(new Command.ReportAbsence(member, absent));
        }
    }

    private static Map<String, String> holders(ClusterState state) {
        Map<String, String> holders = new TreeMap<>();
        state.leases().forEach((name, lease) -> {
            if (lease.isHeld()) {
                holders.put(name, lease.holder());
            }
        });
        return holders;
    }

    private void assignVacant(
            long now,
            ClusterState state,
            LeaseWatch watch,
            Set<String> candidates,
            Map<String, String> holders,
            List<Command> orders) {
        for (String name : new TreeSet<>(settings.leaseNames())) {
            LeaseRecord lease = state.lease(name);
            if (isVacant(lease, watch.ageMicros(now, name))) {
                String holder = newHolder(name, lease, candidates, holders);
                if (throttle.tryPropose(new Topic(Kind.ASSIGNMENT, name), now)) {
                    orders.add(new Command.AssignLease(name, holder, lease.token(), lease.renewals()));
                    holders.put(name, holder);
                }
            }
        }
    }

    // A lease that was assigned and not taken up is not in force: only a renewal begins it, and the state rejects that
    // renewal once the lease is assigned anew.
    private boolean isVacant(LeaseRecord lease, long ageMicros) {
        long expiryMicros = lease.renewals() == 0 ? 2 * settings.retryMicros() : settings.expiryMicros();
        return !lease.isHeld() || ageMicros > expiryMicros;
    }

    private String newHolder(String name, LeaseRecord lease, Set<String> candidates, Map<String, String> holders) {
        Map<String, String> otherHolders = new TreeMap<>(holders);
        otherHolders.remove(name);
        Set<String> preferred = new TreeSet<>(candidates);
        if (preferred.size() > 1) {
            // The last holder has released it, let it lapse, or not taken it up.
            preferred.remove(lease.isHeld() ? lease.holder() : lease.preferredHolder());
        }
        return placement(name, preferred, otherHolders);
    }

    /** Moves one lease to where placement wants it, while all leases are in force and all candidates are stable. */
    private void rebalance(
            long now, ClusterState state, Set<String> candidates, Map<String, String> holders, List<Command> orders) {
        if (!isQuiet(state, candidates) || !candidates.stream().allMatch(member -> isStable(now, member))) {
            return;
        }
        Map<String, String> wanted = new TreeMap<>();
        for (String name : new TreeSet<>(settings.leaseNames())) {
            wanted.put(name, placement(name, candidates, wanted));
        }
        for (Map.Entry<String, String> placed : wanted.entrySet()) {
            String name = placed.getKey();
            if (!placed.getValue().equals(holders.get(name))) {
                if (throttle.tryPropose(Topic.TRANSFER, now)) {
                    orders.add(
                            new Command.RequestTransfer(name, state.lease(name).token(), placed.getValue()));
                }
                return;
            }
        }
    }

    private boolean isQuiet(ClusterState state, Set<String> candidates) {
        return settings.leaseNames().stream()
                .map(state::lease)
                .allMatch(lease ->
                        !lease.transferRequested() && lease.renewals() > 0 && candidates.contains(lease.holder()));
    }

    private boolean isStable(long now, String member) {
        return now - activeSince.getOrDefault(member, now) >= STABLE_LEASES * settings.durationMicros();
    }

    /** By rendezvous hashing among the members that hold fewer leases than an equal share. */
    private String placement(String lease, Set<String> members, Map<String, String> holders) {
        int equalShare = (settings.leaseNames().size() + members.size() - 1) / members.size();
        String best = null;
        long highest = 0;
        for (String member : members) {
            long leases = holders.values().stream().filter(member::equals).count();
            long weight = hash(lease + '\0' + member) >>> 1;
            if (leases < equalShare && (best == null || weight > highest)) {
                best = member;
                highest = weight;
            }
        }
        return best == null ? members.iterator().next() : best;
    }

    // FNV-1a, then the finalizer of SplitMix64: the first alone hardly mixes the last letters.
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte letter : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (letter & 0xff)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
