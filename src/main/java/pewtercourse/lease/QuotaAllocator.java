package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Gives the orders of the holder of the quota lease. It grants the quota that is not reserved to the members that
 * request it, by max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2). It releases a grant once the grant
 * has expired by this member's clock, which is later than at the grantee. Amounts are thousandths of one director's
 * share, times are microseconds.
 */
final class QuotaAllocator {
    private final LeaseSettings settings;
    private final Map<Long, Long> grantSeenAt = new HashMap<>(); // By the log entry of the grant.
    private final RetryThrottle<Long> releaseThrottle; // By the log entry of the grant.
    private final RetryThrottle<Long> grantThrottle; // By the log entry of the request.

    QuotaAllocator(LeaseSettings settings) {
        this.settings = settings;
        this.releaseThrottle = new RetryThrottle<>(settings.retryMicros());
        this.grantThrottle = new RetryThrottle<>(settings.retryMicros());
    }

    /** Called after the state has changed. Records when this member first sees each grant. */
    void onStateChanged(long now, ClusterState state) {
        grantSeenAt.keySet().retainAll(state.quotaGrants().keySet());
        state.quotaGrants().keySet().forEach(grant -> grantSeenAt.putIfAbsent(grant, now));
    }

    /**
     * Returns the orders that the holder of this fencing token gives now, in a cluster of {@code memberCount} members.
     */
    List<Command> orders(long now, long token, ClusterState state, int memberCount) {
        List<Command> orders = new ArrayList<>();
        releaseExpired(now, token, state, orders);
        grantRequested(now, token, state, pool(memberCount), orders);
        return orders;
    }

    /** Maximum total of the grants, in a cluster where this many members keep their reserved quota. */
    private long pool(int memberCount) {
        return memberCount * (LeaseSettings.FULL_SHARE - settings.quotaPolicy().reservedThousandths());
    }

    private void releaseExpired(long now, long token, ClusterState state, List<Command> orders) {
        releaseThrottle.expire(now);
        long expiryMicros = settings.quotaPolicy().expiryMicros(settings.clockDrift());
        for (long grant : state.quotaGrants().keySet()) {
            boolean isExpired = now - grantSeenAt.getOrDefault(grant, now) > expiryMicros;
            if (isExpired && releaseThrottle.tryPropose(grant, now)) {
                orders.add(new Command.ReleaseQuota(grant, token));
            }
        }
    }

    private void grantRequested(long now, long token, ClusterState state, long pool, List<Command> orders) {
        grantThrottle.expire(now);
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
            if (amount > 0 && grantThrottle.tryPropose(requestEntry, now)) {
                orders.add(new Command.GrantQuota(member, requestEntry, amount, token, pool));
            }
        });
    }

    /**
     * Divides the free part of the pool among the members that request quota, and returns the new amount for each
     * member. The members are served in the order of their total, that is of their request and what they have been
     * granted already. Each gets its request or, if that is less, an equal share of the quota that then remains. Quota
     * that a member has already counts against its share, so that a member that requests often does not get everything.
     */
    static Map<String, Long> divide(Map<String, Long> requested, Map<String, Long> granted, long pool) {
        long freeQuota =
                pool - granted.values().stream().mapToLong(Long::longValue).sum();
        Map<String, Long> amounts = new TreeMap<>();
        List<String> unserved = new ArrayList<>(requested.keySet());
        unserved.sort((left, right) -> Long.compare(
                requested.get(left) + granted.getOrDefault(left, 0L),
                requested.get(right) + granted.getOrDefault(right, 0L)));
        while (!unserved.isEmpty() && freeQuota > 0) {
            String member = unserved.remove(0);
            long alreadyGranted = granted.getOrDefault(member, 0L);
            long grantedToOthers = unserved.stream()
                    .mapToLong(other -> granted.getOrDefault(other, 0L))
                    .sum();
            long equalShare = (freeQuota + alreadyGranted + grantedToOthers) / (unserved.size() + 1);
            long amount =
                    Math.max(0, Math.min(Math.min(requested.get(member), equalShare - alreadyGranted), freeQuota));
            amounts.put(member, amount);
            freeQuota -= amount;
        }
        return amounts;
    }
}
