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
 * The leader's part in the leases. It assigns vacant leases to active members, spread by rendezvous hashing (Thaler and
 * Ravishankar, 1998) with no more than an equal share for each member, and reports absent members. It moves a lease
 * back to the member where the hashing places it only after all candidates have been active without a break for a long
 * time. Times are microseconds of the member's own clock.
 */
final class LeaseAssigner {
    // A member that was silent for this many lease durations is reported absent.
    private static final double ABSENT_AFTER_DURATIONS = 2;
    // An absent member that was active for this many lease durations is reported present again.
    private static final double PRESENT_AFTER_DURATIONS = 1;
    // A member that was active without a break for this many lease durations counts as stable.
    private static final double STABLE_AFTER_DURATIONS = 10;

    private enum Kind {
        ABSENCE,
        ASSIGNMENT,
        TRANSFER
    }

    /** Commands with equal keys throttle each other. All transfers have the same key, so that only one is proposed. */
    private record ThrottleKey(Kind kind, String subject) {
        static final ThrottleKey TRANSFER = new ThrottleKey(Kind.TRANSFER, "");
    }

    private final LeaseSettings settings;
    private final Map<String, Long> activeSince = new HashMap<>();
    private final Map<String, Long> silentSince = new HashMap<>();
    private final RetryThrottle<ThrottleKey> throttle;

    LeaseAssigner(LeaseSettings settings) {
        this.settings = settings;
        this.throttle = new RetryThrottle<>(settings.retryMicros());
    }

    /** Forgets what this member knew of the others, because it does not lead, or no longer leads. */
    void reset() {
        activeSince.clear();
        silentSince.clear();
        throttle.clear();
    }

    /**
     * Returns the commands that the leader proposes now.
     *
     * @param active members that answered recently
     */
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
            Long activityChangedAt = absent ? activeSince.get(member) : silentSince.get(member);
            double durations = absent ? PRESENT_AFTER_DURATIONS : ABSENT_AFTER_DURATIONS;
            if (activityChangedAt != null && now - activityChangedAt > durations * settings.durationMicros()) {
                reportAbsence(now, member, !absent, orders);
            }
        }
        for (String member : state.absentMembers()) {
            if (!members.contains(member)) {
                reportAbsence(now, member, false, orders); // The member was removed from the cluster.
            }
        }
    }

    private void reportAbsence(long now, String member, boolean absent, List<Command> orders) {
        if (throttle.tryPropose(new ThrottleKey(Kind.ABSENCE, member), now)) {
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
                if (throttle.tryPropose(new ThrottleKey(Kind.ASSIGNMENT, name), now)) {
                    orders.add(new Command.AssignLease(name, holder, lease.token(), lease.renewals()));
                    holders.put(name, holder);
                }
            }
        }
    }

    // An assigned lease comes into force only with its first renewal. It can be assigned again soon if that
    // renewal does not come, because the state then rejects the renewal of the earlier holder.
    private boolean isVacant(LeaseRecord lease, long ageMicros) {
        long expiryMicros = lease.renewals() == 0 ? 2 * settings.retryMicros() : settings.expiryMicros();
        return !lease.isHeld() || ageMicros > expiryMicros;
    }

    private String newHolder(String name, LeaseRecord lease, Set<String> candidates, Map<String, String> holders) {
        Map<String, String> otherHolders = new TreeMap<>(holders);
        otherHolders.remove(name);
        Set<String> preferredCandidates = new TreeSet<>(candidates);
        if (preferredCandidates.size() > 1) {
            // The last holder has released the lease, let it expire, or never taken it up.
            preferredCandidates.remove(lease.isHeld() ? lease.holder() : lease.preferredHolder());
        }
        return placement(name, preferredCandidates, otherHolders);
    }

    /**
     * Requests the transfer of one lease to the member that placement selects for it, but only while all leases are in
     * force and all candidates are stable.
     */
    private void rebalance(
            long now, ClusterState state, Set<String> candidates, Map<String, String> holders, List<Command> orders) {
        if (!areLeasesSettled(state, candidates) || !candidates.stream().allMatch(member -> isStable(now, member))) {
            return;
        }
        Map<String, String> desiredHolders = new TreeMap<>();
        for (String name : new TreeSet<>(settings.leaseNames())) {
            desiredHolders.put(name, placement(name, candidates, desiredHolders));
        }
        for (Map.Entry<String, String> desired : desiredHolders.entrySet()) {
            String name = desired.getKey();
            if (!desired.getValue().equals(holders.get(name))) {
                if (throttle.tryPropose(ThrottleKey.TRANSFER, now)) {
                    orders.add(
                            new Command.RequestTransfer(name, state.lease(name).token(), desired.getValue()));
                }
                return;
            }
        }
    }

    /** Whether every lease is in force at a candidate, and no transfer is requested. */
    private boolean areLeasesSettled(ClusterState state, Set<String> candidates) {
        return settings.leaseNames().stream()
                .map(state::lease)
                .allMatch(lease ->
                        !lease.transferRequested() && lease.renewals() > 0 && candidates.contains(lease.holder()));
    }

    private boolean isStable(long now, String member) {
        return now - activeSince.getOrDefault(member, now) >= STABLE_AFTER_DURATIONS * settings.durationMicros();
    }

    /**
     * Selects a member by rendezvous hashing, among the members that hold fewer leases than an equal share; the first
     * member if there is none.
     */
    private String placement(String lease, Set<String> members, Map<String, String> holders) {
        int equalShare = (settings.leaseNames().size() + members.size() - 1) / members.size();
        String selectedMember = null;
        long highestWeight = 0;
        for (String member : members) {
            long leaseCount = holders.values().stream().filter(member::equals).count();
            long weight = hash(lease + '\0' + member) >>> 1;
            if (leaseCount < equalShare && (selectedMember == null || weight > highestWeight)) {
                selectedMember = member;
                highestWeight = weight;
            }
        }
        return selectedMember == null ? members.iterator().next() : selectedMember;
    }

    // FNV-1a, then the finalizer of SplitMix64, because FNV-1a alone hardly mixes the last letters.
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
