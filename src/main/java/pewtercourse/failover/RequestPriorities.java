package pewtercourse.failover;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ranks requests by their priority weight for what they cost at a failover target, against what was asked for lately:
 * the lowest ranks are shed first. Memory is bounded: a histogram on a logarithmic scale, aged by halving, and the
 * objects that were asked for last.
 */
final class RequestPriorities {
    private static final int BINS = 40;
    private static final double BINS_PER_DOUBLING = 2;
    private static final long HALF_LIFE_MICROS = 5_000_000;
    private static final long MAX_HALVINGS = 60;
    private static final int MAX_OBJECTS = 4_096;
    private static final int INITIAL_OBJECTS = 256;
    private static final float LOAD_FACTOR = 0.75f;
    private static final double MICROS_PER_SECOND = 1e6;
    // No client waits for a background revalidation.
    private static final double REVALIDATION_FACTOR = 0.25;
    // Filling an object costs the target as much again as sending it.
    private static final double FILL_COST = 1.0;

    private final double[] askedByBin = new double[BINS]; // Service time, the highest priorities first.
    private final Map<Long, Boolean> recentObjects = new LinkedHashMap<>(INITIAL_OBJECTS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
    private double askedInAll;
    private long halfLives = Long.MIN_VALUE;

    /** Ranks a request and counts it: from 0, above all that was asked for lately, to 1. */
    double rank(long now, OverflowRequest request) {
        double service = Math.max(1, request.serviceMicros());
        int bin = bin(request, service);
        age(now);
        askedByBin[bin] += service;
        askedInAll += service;
        double higher = askedByBin[bin] / 2;
        for (int i = 0; i < bin; i++) {
            higher += askedByBin[i];
        }
        return Math.min(1, higher / askedInAll);
    }

    private int bin(OverflowRequest request, double service) {
        boolean cached = recentObjects.put(request.objectHash(), Boolean.TRUE) != null;
        double weight = request.priorityWeight() * (request.revalidation() ? REVALIDATION_FACTOR : 1);
        double cost = service * (cached ? 1 : 1 + FILL_COST);
        // A weight of 1 for each second of cost is in the middle.
        double doublings = Math.log(weight / cost * MICROS_PER_SECOND) / Math.log(2);
        int bin = (int) Math.round(BINS / 2.0 - BINS_PER_DOUBLING * doublings);
        return Math.max(0, Math.min(BINS - 1, bin));
    }

    private void age(long now) {
        long current = now / HALF_LIFE_MICROS;
        if (halfLives != Long.MIN_VALUE && current > halfLives) {
            double factor = Math.pow(0.5, Math.min(MAX_HALVINGS, current - halfLives));
            askedInAll = 0;
            for (int i = 0; i < BINS; i++) {
                askedByBin[i] *= factor;
                askedInAll += askedByBin[i];
            }
        }
        halfLives = Math.max(halfLives, current);
    }
}
