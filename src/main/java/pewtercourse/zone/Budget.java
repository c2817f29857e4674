package pewtercourse.zone;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The traffic across zones that operators allow: a rate and a burst for each kind of crossing, for all classes together
 * and for single classes. A kind without a bound is unlimited. A class that is not listed is limited only by the common
 * bounds.
 */
public record Budget(Map<Crossing, Bound> commonBounds, Map<String, ClassBudget> classes) {
    /** Above this rate a count of millionths of a byte would overflow; such a value has a wrong unit. */
    static final long MAX_BYTES_PER_S = 1_000_000_000_000L;

    /** Above this burst a count of millionths of a byte would overflow; such a value has a wrong unit. */
    static final long MAX_BURST_BYTES = 1_000_000_000_000L;

    /** The rate of a token bucket and its depth in bytes. */
    public record Bound(long bytesPerS, long burstBytes) {
        public Bound {
            if (bytesPerS < 0 || bytesPerS > MAX_BYTES_PER_S) {
                throw new IllegalArgumentException("bytes_per_s: " + bytesPerS + " is not from 0 to " + MAX_BYTES_PER_S);
            }
            if (burstBytes <= 0 || burstBytes > MAX_BURST_BYTES) {
                throw new IllegalArgumentException("burst: " + burstBytes + " is not from 1 to " + MAX_BURST_BYTES);
            }
        }
    }

    /**
     * The budget of one class.
     *
     * @param bounds bounds of this class in addition to the common ones
     * @param shareLeftToOthers share of the common burst, from 0 to 1, that the class must leave to classes of higher priority; 0 for
     *     the highest priority
     * @param neverRejected whether fills of the class are always sent; they are charged even if this makes a debt
     */
    public record ClassBudget(Map<Crossing, Bound> bounds, double shareLeftToOthers, boolean neverRejected) {
        public ClassBudget {
            if (!(shareLeftToOthers >= 0 && shareLeftToOthers <= 1)) {
                throw new IllegalArgumentException("share_left_to_others: " + shareLeftToOthers + " is not from 0 to 1");
            }
            bounds = copy(bounds);
        }
    }

    static final ClassBudget UNLISTED = new ClassBudget(Map.of(), 0, false);

    public Budget {
        commonBounds = copy(commonBounds);
        classes = Map.copyOf(new TreeMap<>(classes));
    }

    private static Map<Crossing, Bound> copy(Map<Crossing, Bound> bounds) {
        Map<Crossing, Bound> copy = new EnumMap<>(Crossing.class);
        copy.putAll(bounds);
        return java.util.Collections.unmodifiableMap(copy);
    }
}
