package pewtercourse.zone;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the traffic across zones to a {@link Budget}. A fill is charged with an estimate when it is sent and with the
 * transferred bytes when it ends. If the estimate was too low, the difference is a debt that delays later fills; if it was
 * too high, the difference is given back. Uses no sockets; {@code now} is the caller's clock in microseconds. The memory is
 * bounded by the classes of the budget, because a reservation is owned by its attempt.
 */
public final class Ledger {
    // Levels are counted in millionths of a byte. A rate in bytes per second times microseconds is an integer in this
    // unit, so rounding neither creates nor loses tokens.
    static final long UNITS_PER_BYTE = 1_000_000;

    /** The token bucket of one bound; a level below 0 is a debt. */
    static final class Bucket {
        private Budget.Bound bound;
        private long level;

        Bucket(Budget.Bound bound) {
            this.bound = bound;
            level = bound.burstBytes() * UNITS_PER_BYTE;
        }

        /** Adds the tokens for the elapsed time, up to the burst. */
        private void refill(long elapsedMicros) {
            long missing = bound.burstBytes() * UNITS_PER_BYTE - level;
            boolean becomesFull = bound.bytesPerS() > 0 && elapsedMicros >= missing / bound.bytesPerS() + 1;
            level += becomesFull ? missing : Math.min(missing, bound.bytesPerS() * elapsedMicros);
        }

        // A debt stays, and the level is cut to the new burst. So a smaller burst takes effect immediately, and a larger
        // one fills over time.
        private void changeBound(Budget.Bound newBound) {
            bound = newBound;
            level = Math.min(level, newBound.burstBytes() * UNITS_PER_BYTE);
        }

        // A fill larger than the burst is sent when the bucket is full and leaves a debt; otherwise it could never be
        // sent.
        private boolean affords(long bytes, double shareLeftToOthers) {
            long required = Math.min(bytes, bound.burstBytes());
            return level >= (required + (long) (shareLeftToOthers * (bound.burstBytes() - required))) * UNITS_PER_BYTE;
        }

        // Returned tokens do not raise the level above the burst.
        private void addTokens(long bytes) {
            level = Math.min(bound.burstBytes() * UNITS_PER_BYTE, level + bytes * UNITS_PER_BYTE);
        }

        long level() {
            return level;
        }
    }

    /** The tokens that an attempt has taken and the buckets they came from; ended exactly once, by any end of the attempt. */
    public static final class Reservation {
        private final Map<Bucket, Crossing> charged = new IdentityHashMap<>();
        private final Cost cost;

        private Reservation(Cost cost) {
            this.cost = cost;
        }
    }

    private final Map<Crossing, Bucket> commonBuckets = new EnumMap<>(Crossing.class);
    private final Map<String, Map<Crossing, Bucket>> bucketsByClass = new HashMap<>();
    private Budget budget;
    private long lastRefillAt;

    /** Creates a ledger whose buckets are full. */
    public Ledger(Budget budget, long now) {
        lastRefillAt = now;
        applyBudget(budget);
    }

    /** Tells whether a fill of this class may be sent now. */
    public boolean affords(long now, String requestClass, Cost cost) {
        refill(now);
        Budget.ClassBudget classBudget = budget.classes().getOrDefault(requestClass, Budget.UNLISTED);
        if (classBudget.neverRejected()) {
            return true;
        }
        for (Crossing crossing : Crossing.values()) {
            long bytes = cost.bytesOf(crossing);
            Bucket commonBucket = commonBuckets.get(crossing);
            Bucket classBucket = bucketsByClass.getOrDefault(requestClass, Map.of()).get(crossing);
            if (bytes > 0
                    && (commonBucket != null && !commonBucket.affords(bytes, classBudget.shareLeftToOthers())
                            || classBucket != null && !classBucket.affords(bytes, 0))) {
                return false;
            }
        }
        return true;
    }

    /** Takes the tokens for the estimate of a fill; takes none and returns null if the fill may not be sent now. */
    public Reservation reserve(long now, String requestClass, Cost estimate) {
        if (!affords(now, requestClass, estimate)) {
            return null;
        }
        Reservation reservation = new Reservation(estimate);
        for (Crossing crossing : Crossing.values()) {
            for (Bucket bucket : new Bucket[] {
                commonBuckets.get(crossing), bucketsByClass.getOrDefault(requestClass, Map.of()).get(crossing)
            }) {
                if (bucket != null) {
                    bucket.addTokens(-estimate.bytesOf(crossing));
                    reservation.charged.put(bucket, crossing);
                }
            }
        }
        return reservation;
    }

    /** Ends a fill and charges the bytes that have crossed; a second end of the same reservation has no effect. */
    public void settle(long now, Reservation reservation, Cost actual) {
        refill(now);
        // Gives back only to the buckets that were charged, and only once: a bound that a reload has added since then
        // was not charged.
        reservation.charged.forEach((bucket, crossing) -> bucket.addTokens(reservation.cost.bytesOf(crossing) - actual.bytesOf(crossing)));
        reservation.charged.clear();
    }

    /** Ends a fill of which nothing has crossed, because it was never sent or was joined to another. */
    public void cancel(long now, Reservation reservation) {
        settle(now, reservation, Cost.ZERO);
    }

    /**
     * Replaces the complete budget. Bounds that remain keep their levels and debts, also those of fills in flight.
     */
    public void reload(long now, Budget newBudget) {
        refill(now);
        applyBudget(newBudget);
    }

    private void applyBudget(Budget newBudget) {
        budget = newBudget;
        bindBuckets(commonBuckets, newBudget.commonBounds());
        bucketsByClass.keySet().retainAll(newBudget.classes().keySet());
        newBudget.classes()
                .forEach((name, classBudget) -> bindBuckets(bucketsByClass.computeIfAbsent(name, n -> new EnumMap<>(Crossing.class)), classBudget.bounds()));
    }

    private static void bindBuckets(Map<Crossing, Bucket> buckets, Map<Crossing, Budget.Bound> bounds) {
        buckets.keySet().retainAll(bounds.keySet());
        bounds.forEach(
                (crossing, bound) -> buckets.computeIfAbsent(crossing, k -> new Bucket(bound)).changeBound(bound));
    }

    // If the clock steps back, no tokens are added until it has passed the last refill.
    private void refill(long now) {
        if (now > lastRefillAt) {
            long elapsedMicros = now - lastRefillAt;
            lastRefillAt = now;
            commonBuckets.values().forEach(bucket -> bucket.refill(elapsedMicros));
            bucketsByClass.values().forEach(classBuckets -> classBuckets.values().forEach(bucket -> bucket.refill(elapsedMicros)));
        }
    }

    /**
     * Returns the bytes that may still cross under a bound, below 0 for a debt; null if there is no such bound.
     *
     * @param requestClass a class, or null for the bound of all classes
     */
    public Long remainingBytes(long now, String requestClass, Crossing crossing) {
        refill(now);
        Bucket bucket = (requestClass == null ? commonBuckets : bucketsByClass.getOrDefault(requestClass, Map.of())).get(crossing);
        return bucket == null ? null : Math.floorDiv(bucket.level, UNITS_PER_BYTE);
    }

    /** Returns the bucket of a bound for tests; {@code requestClass} is null for the bound of all classes. */
    Bucket bucket(String requestClass, Crossing crossing) {
        return (requestClass == null ? commonBuckets : bucketsByClass.getOrDefault(requestClass, Map.of())).get(crossing);
    }
}
