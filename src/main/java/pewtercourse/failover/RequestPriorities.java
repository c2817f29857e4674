package pewtercourse.failover;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is refused first: the order of requests by their worth for what they cost at a taker, against what was asked for of
 * late. Memory is bounded.
 */
final class RequestPriorities {
    private static final int BINS = 40, OBJECTS_MOST = 4_096;
    private static final double PER_DOUBLING = 2; // Bins for each doubling of worth for cost.
    private static final long HALVING = 5_000_000;
    // What is renewed behind is nobody's answer yet. A fill costs its taker as much again as the sending.
    private static final double RENEWAL = 0.25, FILL = 1.0;

    private final double[] asked = new double[BINS]; // Work by bin, the worthiest first, halved with time.
    private final Map<Long, Boolean> objects = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > OBJECTS_MOST;
        }
    };
    private double total;
    private long epoch = Long.MIN_VALUE;

    /** Between 0, worthier than all that was asked for of late, and 1. Counts this one. */
    double rank(long now, double worth, double work, long object, boolean renewal) {
        boolean known = objects.put(object, Boolean.TRUE) != null;
        double density = worth * (renewal ? RENEWAL : 1) / (work * (known ? 1 : 1 + FILL));
        // 1 per second of work is in the middle.
        int bin = (int) Math.round(BINS / 2.0 - PER_DOUBLING * Math.log(density * 1e6) / Math.log(2));
        bin = Math.max(0, Math.min(BINS - 1, bin));
        age(now);
        asked[bin] += work;
        total += work;
        double better = asked[bin] / 2;
        for (int i = 0; i < bin; i++) {
            better += asked[i];
        }
        return Math.min(1, better / total);
    }

    private void age(long now) {
        long at = now / HALVING;
        if (epoch != Long.MIN_VALUE && at > epoch) {
            double down = Math.pow(0.5, Math.min(60, at - epoch));
            total = 0;
            for (int i = 0; i < BINS; i++) {
                asked[i] *= down;
                total += asked[i];
            }
        }
        epoch = Math.max(epoch, at);
    }
}
