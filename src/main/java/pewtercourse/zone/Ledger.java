package pewtercourse.zone;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Holds the traffic across zones to a {@link Budget}. A fill is charged by an estimate when it is sent and settled by
 * what came; what a wrong estimate leaves is a debt that the fills after it pay back, or is given back. Knows no
 * sockets; {@code now} is microseconds of the caller's clock. Memory is bounded by the classes of the budget: a
 * reservation lives with the attempt that holds it.
 */
public final class Ledger {
    // A rate in bytes a second times microseconds is whole in these, so that no token is made or lost by rounding.
    static final long PARTS = 1_000_000;

    /** Tokens of one bound; below 0 it is in debt. */
    static final class Bucket {
        private Budget.Bound bound;
        private long level;

        Bucket(Budget.Bound bound) {
            this.bound = bound;
            level = bound.burst() * PARTS;
        }

        /** Tokens that came in so many microseconds; what the burst can't hold is not made. */
        private void refill(long micros) {
            long room = bound.burst() * PARTS - level;
            boolean fills = bound.bytesPerS() > 0 && micros >= room / bound.bytesPerS() + 1;
            level += fills ? room : Math.min(room, bound.bytesPerS() * micros);
        }

        // Debts stay, and no bucket holds more than its burst: a smaller budget binds at once, a larger one fills in
        // time.
        private void rebind(Budget.Bound to) {
            bound = to;
            level = Math.min(level, to.burst() * PARTS);
        }

        // One larger than the burst can go once the bucket is full: it leaves a debt instead of never being let
        // through.
        private boolean affords(long bytes, double leave) {
            long need = Math.min(bytes, bound.burst());
            return level >= (need + (long) (leave * (bound.burst() - need))) * PARTS;
        }

        // What is given back never fills it over its burst: it would have had no room for it.
        private void move(long bytes) {
            level = Math.min(bound.burst() * PARTS, level + bytes * PARTS);
        }

        long level() {
            return level;
        }
    }

    /** What an attempt has taken, and from which bounds; ended once, however the attempt ends. */
    public static final class Reservation {
        private final Map<Bucket, Crossing> from = new IdentityHashMap<>();
        private final Cost cost;

        private Reservation(Cost cost) {
            this.cost = cost;
        }
    }

    private final Map<Crossing, Bucket> all = new EnumMap<>(Crossing.class);
    private final Map<String, Map<Crossing, Bucket>> classes = new HashMap<>();
    private Budget budget;
    private long last;

    public Ledger(Budget budget, long now) {
        last = now;
        bind(budget);
    }

    /** Whether a fill of this class may be sent now. */
    public boolean affords(long now, String cls, Cost cost) {
        refill(now);
        Budget.ClassBudget rules = budget.classes().getOrDefault(cls, Budget.UNNAMED);
        if (rules.always()) {
            return true;
        }
        for (Crossing c : Crossing.values()) {
            long bytes = cost.of(c);
            Bucket common = all.get(c),
                    own = classes.getOrDefault(cls, Map.of()).get(c);
            if (bytes > 0
                    && (common != null && !common.affords(bytes, rules.leave())
                            || own != null && !own.affords(bytes, 0))) {
                return false;
            }
        }
        return true;
    }

    /** Takes the estimate of a fill; null if it can't be afforded, and nothing is taken. */
    public Reservation reserve(long now, String cls, Cost estimate) {
        if (!affords(now, cls, estimate)) {
            return null;
        }
        Reservation r = new Reservation(estimate);
        for (Crossing c : Crossing.values()) {
            for (Bucket b : new Bucket[] {
                all.get(c), classes.getOrDefault(cls, Map.of()).get(c)
            }) {
                if (b != null) {
                    b.move(-estimate.of(c));
                    r.from.put(b, c);
                }
            }
        }
        return r;
    }

    /** The fill has ended and this much has crossed; only the first end counts. */
    public void settle(long now, Reservation r, Cost came) {
        refill(now);
        // Only where it was taken, and once: a bound that came by a reload meanwhile gave nothing for it.
        r.from.forEach((b, c) -> b.move(r.cost.of(c) - came.of(c)));
        r.from.clear();
    }

    /** Nothing has crossed: it was never sent, or was joined to another. */
    public void cancel(long now, Reservation r) {
        settle(now, r, Cost.NOTHING);
    }

    /** A new budget, whole: levels and debts stay with the bounds that stay, also of fills that are under way. */
    public void reload(long now, Budget to) {
        refill(now);
        bind(to);
    }

    private void bind(Budget to) {
        budget = to;
        bind(all, to.all());
        classes.keySet().retainAll(to.classes().keySet());
        to.classes()
                .forEach((name, c) -> bind(classes.computeIfAbsent(name, n -> new EnumMap<>(Crossing.class)), c.own()));
    }

    private static void bind(Map<Crossing, Bucket> buckets, Map<Crossing, Budget.Bound> to) {
        buckets.keySet().retainAll(to.keySet());
        to.forEach(
                (c, bound) -> buckets.computeIfAbsent(c, k -> new Bucket(bound)).rebind(bound));
    }

    // A clock that steps back brings nothing until it has caught up.
    private void refill(long now) {
        if (now > last) {
            long micros = now - last;
            last = now;
            all.values().forEach(b -> b.refill(micros));
            classes.values().forEach(of -> of.values().forEach(b -> b.refill(micros)));
        }
    }

    /** Bytes that are left of a bound, below 0 in debt; null where there is none. {@code cls} null: of all classes. */
    public Long left(long now, String cls, Crossing c) {
        refill(now);
        Bucket b = (cls == null ? all : classes.getOrDefault(cls, Map.of())).get(c);
        return b == null ? null : Math.floorDiv(b.level, PARTS);
    }

    Bucket bucket(String cls, Crossing c) {
        return (cls == null ? all : classes.getOrDefault(cls, Map.of())).get(c);
    }
}
