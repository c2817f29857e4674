package pewtercourse.zone;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators allow: for all classes together and for single ones, a rate and a burst for each kind of crossing. A
 * kind that is absent has no bound. {@code leave}: the share of the common burst that a class must leave to those of
 * higher priority; 0 for the highest. A class that is not named is bound by the common bounds alone.
 */
public record Budget(Map<Crossing, Bound> all, Map<String, ClassBudget> classes) {
    /** Past these a count of millionths would not fit: a unit was mistaken. */
    static final long RATE_MOST = 1_000_000_000_000L, BURST_MOST = 1_000_000_000_000L;

    /** A token bucket: its rate and its depth. */
    public record Bound(long bytesPerS, long burst) {
        public Bound {
            if (bytesPerS < 0 || bytesPerS > RATE_MOST) {
                throw new IllegalArgumentException("bytes_per_s: " + bytesPerS + " is not from 0 to " + RATE_MOST);
            }
            if (burst <= 0 || burst > BURST_MOST) {
                throw new IllegalArgumentException("burst: " + burst + " is not from 1 to " + BURST_MOST);
            }
        }
    }

    /** {@code always}: it is charged, also into debt, but never turned away. */
    public record ClassBudget(Map<Crossing, Bound> own, double leave, boolean always) {
        public ClassBudget {
            if (!(leave >= 0 && leave <= 1)) {
                throw new IllegalArgumentException("leave: " + leave + " is not from 0 to 1");
            }
            own = copy(own);
        }
    }

    static final ClassBudget UNNAMED = new ClassBudget(Map.of(), 0, false);

    public Budget {
        all = copy(all);
        classes = Map.copyOf(new TreeMap<>(classes));
    }

    private static Map<Crossing, Bound> copy(Map<Crossing, Bound> of) {
        Map<Crossing, Bound> c = new EnumMap<>(Crossing.class);
        c.putAll(of);
        return java.util.Collections.unmodifiableMap(c);
    }
}
