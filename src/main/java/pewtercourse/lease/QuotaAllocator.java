package pewtercourse.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The acts of whoever divides the cold budgets: what the members do not keep for themselves is lent to those that could
 * use it, each as much as the others or as much as it wishes for (max-min fairness; Bertsekas and Gallager, "Data
 * Networks", 6.5.2), and comes back by the lender's own clock, which is later than the borrower's.
 */
final class QuotaAllocator {
    private static final long WHOLE = 1_000; // One director's part, in thousandths.

    private final LeaseSettings set;
    private final Map<Long, Long> seen = new HashMap<>(), settledAt = new HashMap<>(); // By loan.
    private final Map<Long, Long> lentAt = new HashMap<>(); // By wish.

    QuotaAllocator(LeaseSettings set) {
        this.set = set;
    }

    /** How much may be lent at once where so many members keep their reserve. */
    long pool(int members) {
        return members * (WHOLE - set.quotaAllocator().reserve());
    }

    void see(long now, ClusterState state) {
        seen.keySet().retainAll(state.loans().keySet());
        state.loans().keySet().forEach(n -> seen.putIfAbsent(n, now));
    }

    List<Command> orders(long now, long token, ClusterState state, int members) {
        List<Command> orders = new ArrayList<>();
        settledAt.values().removeIf(at -> now - at >= set.again());
        lentAt.values().removeIf(at -> now - at >= set.again());
        long back = (long) (set.quotaAllocator().loan() * (1 + set.drift()));
        state.loans().forEach((n, loan) -> {
            if (now - seen.getOrDefault(n, now) > back && settledAt.putIfAbsent(n, now) == null) {
                orders.add(new Command.ReleaseQuota(n, token));
            }
        });
        Map<String, Long> wishes = new TreeMap<>(), has = new TreeMap<>();
        state.wishes().forEach((m, w) -> {
            if (!state.absent().contains(m)) {
                wishes.put(m, w.thousandths());
            }
        });
        state.loans().values().forEach(l -> has.merge(l.to(), l.thousandths(), Long::sum));
        long pool = pool(members);
        divide(wishes, has, pool).forEach((m, amount) -> {
            long ask = state.wishes().get(m).ask();
            if (amount > 0 && lentAt.putIfAbsent(ask, now) == null) {
                orders.add(new Command.GrantQuota(m, ask, amount, token, pool));
            }
        });
        return orders;
    }

    /**
     * What each gets of what is free, by its wish and what it has: the water level up to which all are filled, found by
     * taking out, one after the other, those whose wish lies below an equal share.
     */
    static Map<String, Long> divide(Map<String, Long> wishes, Map<String, Long> has, long pool) {
        long free = pool - has.values().stream().mapToLong(Long::longValue).sum();
        Map<String, Long> gets = new TreeMap<>();
        List<String> left = new ArrayList<>(wishes.keySet());
        // What a member has counts against its share, so that one that asks often does not get all.
        left.sort((a, b) ->
                Long.compare(wishes.get(a) + has.getOrDefault(a, 0L), wishes.get(b) + has.getOrDefault(b, 0L)));
        while (!left.isEmpty() && free > 0) {
            String m = left.remove(0);
            long held = left.stream().mapToLong(x -> has.getOrDefault(x, 0L)).sum() + has.getOrDefault(m, 0L);
            long level = (free + held) / (left.size() + 1);
            long amount = Math.max(0, Math.min(Math.min(wishes.get(m), level - has.getOrDefault(m, 0L)), free));
            gets.put(m, amount);
            free -= amount;
        }
        return gets;
    }
}
