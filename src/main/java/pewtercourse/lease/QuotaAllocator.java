package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The orders of the holder of the quota lease: what members do not keep for themselves is granted to those that request
 * it, by max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2), and released when the grant has expired by
 * this member's clock, which is later than at the grantee. Amounts are thousandths of one director's share, times
 * microseconds.
 */
final class QuotaAllocator {
    private final LeaseSettings settings;
    private final Map<Long, Long> grantSeenAt = new HashMap<>(); // By grant.
    private final RetryThrottle<Long> releases; // By grant.
    private final RetryThrottle<Long> grants; // By the entry of the request.

    QuotaAllocator(LeaseSettings settings) {
        this.settings = settings;
        this.releases = new RetryThrottle<>(settings.retryMicros());
        this.grants = new RetryThrottle<>(settings.retryMicros());
    }

    /** The state after a change: notes when this member first sees each grant. */
    void follow(long now, ClusterState state) {
        grantSeenAt.keySet().retainAll(state.quotaGrants().keySet());
        state.quotaGrants().keySet().forEach(grant -> grantSeenAt.putIfAbsent(grant, now));
    }

    /** What the holder of this fencing token orders now, in a cluster of so many members. */
    List<Command> orders(long now, long token, ClusterState state, int members) {
        List<Command> orders = new ArrayList<>();
        releaseExpired(now, token, state, orders);
        grantRequested(now, token, state, pool(members), orders);
        return orders;
    }

    /** What may be granted at once where so many members keep their reserve. */
    private long pool(int members) {
        return members * (LeaseSettings.FULL_SHARE - settings.quotaPolicy().reservedThousandths());
    }

    private void releaseExpired(long now, long token, ClusterState state, List<Command> orders) {
        releases.expire(now);
        long expiryMicros = settings.quotaPolicy().expiryMicros(settings.clockDrift());
        for (long grant : state.quotaGrants().keySet()) {
            boolean expired = now - grantSeenAt.getOrDefault(grant, now) > expiryMicros;
            if (expired && releases.tryPropose(grant, now)) {
                orders.add(new Command.ReleaseQuota(grant, token));
            }
        }
    }

    private void grantRequested(long now, long token, ClusterState state, long pool, List<Command> orders) {
        grants.expire(now);
        Map<String, Long> requested = new TreeMap<>();
        state.quotaRequests().forEach((member, request) -> {
            if (!state.absentMembers().contains(member)) {
                requested.put(member, request.thousandths());
            }
        });
        Map<String, Long> granted = new TreeMap<>();
        state.quotaGrants().values().forEach(grant -> granted.merge(grant.grantee(), grant.thousandths(), Long::sum));
        divide(requested, granted, pool).forEach((member, amount) -> {
            long requestEntry = state.quotaRequests().get(member).entry();
            if (amount > 0 && grants.tryPropose(requestEntry, now)) {
                orders.add(new Command.GrantQuota(member, requestEntry, amount, token, pool));
            }
        });
    }

    /**
     * What each member gets of what is free: the level up to which all are filled, found by taking out, one after the
     * other, those whose request lies below an equal share. What a member has counts against its share, so that one that
     * requests often does not get all.
     */
    static Map<String, Long> divide(Map<String, Long> requested, Map<String, Long> granted, long pool) {
        long free = pool - granted.values().stream().mapToLong(Long::longValue).sum();
        Map<String, Long> amounts = new TreeMap<>();
        List<String> unserved = new ArrayList<>(requested.keySet());
        unserved.sort((a, b) -> Long.compare(
                requested.get(a) + granted.getOrDefault(a, 0L), requested.get(b) + granted.getOrDefault(b, 0L)));
        while (!unserved.isEmpty() && free > 0) {
            String member = unserved.remove(0);
            long has = granted.getOrDefault(member, 0L);
            long othersHave = unserved.stream()
                    .mapToLong(other -> granted.getOrDefault(other, 0L))
                    .sum();
            long level = (free + has + othersHave) / (unserved.size() + 1);
            long amount = Math.max(0, Math.min(Math.min(requested.get(member), level - has), free));
            amounts.put(member, amount);
            free -= amount;
        }
        return amounts;
    }
}
