package pewtercourse.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Gives the orders of the holder of the quota lease. The members of a zone share the budgets of that zone's caches, so
 * the quota that they do not reserve is granted to members of the same zone only, by max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2). It releases a grant once the grant
 * has expired by this member's clock, which is later than at the grantee. Amounts are thousandths of one director's
 * share, times are microseconds.
 */
final class QuotaAllocator {
    private record OrderedGrant(String grantee, long thousandths) {}

    private final LeaseSettings settings;
    private final Map<Long, Long> grantSeenAt = new HashMap<>(); // By the log entry of the grant.
    private final RetryThrottle<Long> releaseThrottle; // By the log entry of the grant.
    // Orders that may still be applied, by the log entry of the request.
    private final Map<Long, OrderedGrant> orderedGrants = new HashMap<>();

    QuotaAllocator(LeaseSettings settings) {
        this.settings = settings;
        this.releaseThrottle = new RetryThrottle<>(settings.retryMicros());
    }

    /** Called after the state has changed. Records when this member first sees each grant. */
    void onStateChanged(long now, ClusterState state) {
        grantSeenAt.keySet().retainAll(state.quotaGrants().keySet());
        state.quotaGrants().keySet().forEach(grant -> grantSeenAt.putIfAbsent(grant, now));
    }

    /** Returns the orders that the holder of this fencing token gives now, in a cluster of these members. */
    List<Command> orders(long now, long token, ClusterState state, Collection<String> members) {
        List<Command> orders = new ArrayList<>();
        releaseExpired(now, token, state, orders);
        forgetAppliedOrders(state);
        Map<String, List<String>> membersByZone = new TreeMap<>();
        members.forEach(member -> membersByZone
                .computeIfAbsent(state.quotaZoneOf(member), zone -> new ArrayList<>())
                .add(member));
        membersByZone.forEach((zone, sharing) -> divideAmong(sharing, zone, state)
                .forEach((member, amount) -> {
                    long requestEntry = state.quotaRequests().get(member).entry();
                    if (amount > 0) {
                        orderedGrants.put(requestEntry, new OrderedGrant(member, amount));
                        orders.add(new Command.GrantQuota(member, requestEntry, amount, token, pool(members.size())));
                    }
                }));
        return orders;
    }

    /** Maximum total of the grants, where this many members keep their reserved quota. */
    private long pool(int memberCount) {
        return memberCount * (LeaseSettings.FULL_SHARE - settings.quotaPolicy().reservedThousandths());
    }

    // A request that was granted, withdrawn or replaced is no longer in the state, and no other order for it is
    // applied.
    private void forgetAppliedOrders(ClusterState state) {
        Set<Long> openRequests =
                state.quotaRequests().values().stream().map(QuotaRequest::entry).collect(Collectors.toSet());
        orderedGrants.keySet().retainAll(openRequests);
    }

    private Map<String, Long> divideAmong(List<String> sharing, String zone, ClusterState state) {
        Map<String, Long> requested = new TreeMap<>();
        for (String member : sharing) {
            QuotaRequest request = state.quotaRequests().get(member);
            boolean isOrdered = request != null && orderedGrants.containsKey(request.entry());
            if (request != null && !isOrdered && !state.absentMembers().contains(member)) {
                requested.put(member, request.thousandths());
            }
        }
        return divide(requested, grantedIn(zone, state), pool(sharing.size()));
    }

    /** What is granted to members of a zone, or may be granted by an order that is not applied yet. */
    private Map<String, Long> grantedIn(String zone, ClusterState state) {
        Map<String, Long> granted = new TreeMap<>();
        for (QuotaGrant grant : state.quotaGrants().values()) {
            if (state.quotaZoneOf(grant.grantee()).equals(zone)) {
                granted.merge(grant.grantee(), grant.thousandths(), Long::sum);
            }
        }
        for (OrderedGrant ordered : orderedGrants.values()) {
            if (state.quotaZoneOf(ordered.grantee()).equals(zone)) {
                granted.merge(ordered.grantee(), ordered.thousandths(), Long::sum);
            }
        }
        return granted;
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
