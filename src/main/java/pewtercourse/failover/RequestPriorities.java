package pewtercourse.failover;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ranks requests by the ratio of their priority weight to their cost at a failover target, compared with recent
 * requests; the load shedder rejects the lowest ranks first. Memory is bounded: a histogram of recent demand on a
 * logarithmic scale, which ages by halving, and the most recently requested objects.
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
    // Filling an object costs the target as much as sending it.
    private static final double FILL_COST = 1.0;

    private final double[] demandByBinMicros = new double[BINS]; // Service time, highest priorities first.
    private final Map<Long, Boolean> recentObjects = new LinkedHashMap<>(INITIAL_OBJECTS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_OBJECTS;
        }
    };
    private double totalDemandMicros;
    private long lastHalfLife = Long.MIN_VALUE;

    /** Ranks a request and counts it; 0 is a higher priority than all recent requests, 1 the lowest. */
    double rank(long now, OverflowRequest request) {
        double serviceMicros = Math.max(1, request.serviceMicros());
        int bin = bin(request, serviceMicros);
        ageDemand(now);
        demandByBinMicros[bin] += serviceMicros;
        totalDemandMicros += serviceMicros;
        double higherDemandMicros = demandByBinMicros[bin] / 2;
        for (int i = 0; i < bin; i++) {
            higherDemandMicros += demandByBinMicros[i];
        }
        return Math.min(1, higherDemandMicros / totalDemandMicros);
    }

    private int bin(OverflowRequest request, double serviceMicros) {
        boolean cached = recentObjects.put(request.objectHash(), Boolean.TRUE) != null;
        double weight = request.priorityWeight() * (request.revalidation() ? REVALIDATION_FACTOR : 1);
        double costMicros = serviceMicros * (cached ? 1 : 1 + FILL_COST);
        // A weight of 1 per second of cost falls into the middle bin.
        double doublings = Math.log(weight / costMicros * MICROS_PER_SECOND) / Math.log(2);
        int bin = (int) Math.round(BINS / 2.0 - BINS_PER_DOUBLING * doublings);
        return Math.max(0, Math.min(BINS - 1, bin));
    }

    private void ageDemand(long now) {
        long currentHalfLife = now / HALF_LIFE_MICROS;
        if (lastHalfLife != Long.MIN_VALUE && currentHalfLife > lastHalfLife) {
            double factor = Math.pow(0.5, Math.min(MAX_HALVINGS, currentHalfLife - lastHalfLife));
            totalDemandMicros = 0;
            for (int i = 0; i < BINS; i++) {
                demandByBinMicros[i] *= factor;
                totalDemandMicros += demandByBinMicros[i];
            }
        }
        lastHalfLife = Math.max(lastHalfLife, currentHalfLife);
    }
}
