package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Faults of one run of a {@link ZoneSimulation}, drawn from a seed. Times are microseconds from the restart of the caches
 * unless stated otherwise.
 */
final class ZoneFaults {
    private static final long MILLIS = 1_000;
    private static final long SECONDS = 1_000_000;
    private static final int MAX_INTERVALS = 6;

    /** A time span in which something is wrong at a cache; {@code cache} is -1 for all caches. */
    record Interval(int cache, long from, long until) {
        boolean contains(int otherCache, long time) {
            return (cache < 0 || cache == otherCache) && time >= from && time < until;
        }
    }

    /** A router hears that a cache is gone, and a moment later that it is back with the same start. */
    record Flap(int router, int cache, long goneAt, long backAt) {}

    /** A router ends and a new process takes its place, without a memory. */
    record RouterRestart(int router, long endsAt, long startsAt) {}

    /** Whether any fault is drawn; without, nothing differs from a zone without faults. */
    final boolean enabled;

    /** Bytes to a cache are held back in these spans and arrive together at their ends. */
    final List<Interval> heldBack = new ArrayList<>();

    /** Connections to a cache are refused. */
    final List<Interval> refused = new ArrayList<>();

    final List<Flap> flaps = new ArrayList<>();
    final List<RouterRestart> routerRestarts = new ArrayList<>();

    /** Difference between the clock of each router and that of the simulation. */
    final long[] clockOffset;

    /** Delay with which each router hears of the restart. */
    final long[] listDelay;

    /** By how much each router underestimates the age of a start that it hears of. */
    final long[] ageError;

    /** Capacity of each cache relative to the mean. */
    final double[] relativeCapacity;

    /** When the load of the routers changes places, and by how many places. */
    final long loadShiftAt;

    final int loadShift;

    private ZoneFaults(boolean enabled, int routers, int caches, Random random) {
        this.enabled = enabled;
        clockOffset = new long[routers];
        listDelay = new long[routers];
        ageError = new long[routers];
        relativeCapacity = new double[caches];
        java.util.Arrays.fill(relativeCapacity, 1);
        loadShiftAt = enabled ? random.nextLong(8 * SECONDS) : Long.MAX_VALUE;
        loadShift = enabled ? random.nextInt(routers) : 0;
        if (enabled) {
            draw(routers, caches, random);
        }
    }

    static ZoneFaults none(int routers, int caches) {
        return new ZoneFaults(false, routers, caches, new Random(0));
    }

    static ZoneFaults draw(int routers, int caches, long seed) {
        return new ZoneFaults(true, routers, caches, new Random(seed));
    }

    private void draw(int routers, int caches, Random random) {
        for (int router = 0; router < routers; router++) {
            clockOffset[router] = random.nextLong(7_200 * SECONDS);
            listDelay[router] = 240 * MILLIS + random.nextLong(2 * SECONDS);
            ageError[router] = 30 * MILLIS + random.nextLong(400 * MILLIS);
        }
        for (int cache = 0; cache < caches; cache++) {
            relativeCapacity[cache] = 0.85 + 0.3 * random.nextDouble();
        }
        drawIntervals(heldBack, caches, 3 * SECONDS, random);
        drawIntervals(refused, caches, 500 * MILLIS, random);
        for (int i = random.nextInt(2 * routers); i > 0; i--) {
            int router = random.nextInt(routers);
            long goneAt = listDelay[router] + random.nextLong(8 * SECONDS);
            flaps.add(new Flap(router, random.nextInt(caches), goneAt, goneAt + 1 + random.nextLong(600 * MILLIS)));
        }
        for (int i = random.nextInt(1 + routers / 3); i > 0; i--) {
            long endsAt = random.nextLong(8 * SECONDS);
            int router = random.nextInt(routers);
            routerRestarts.add(new RouterRestart(router, endsAt, endsAt + 2 * SECONDS + random.nextLong(3 * SECONDS)));
        }
    }

    private static void drawIntervals(List<Interval> intervals, int caches, long maxLength, Random random) {
        for (int i = random.nextInt(MAX_INTERVALS); i > 0; i--) {
            long from = random.nextLong(10 * SECONDS);
            int cache = random.nextInt(3) == 0 ? -1 : random.nextInt(caches);
            intervals.add(new Interval(cache, from, from + 1 + random.nextLong(maxLength)));
        }
    }

    /** When bytes that are sent to a cache arrive. */
    long arrivalOf(int cache, long sentAt) {
        long arrival = sentAt;
        for (boolean held = true; held; ) {
            held = false;
            for (Interval interval : heldBack) {
                if (interval.contains(cache, arrival)) {
                    arrival = interval.until();
                    held = true;
                }
            }
        }
        return arrival;
    }

    boolean isRefused(int cache, long time) {
        return refused.stream().anyMatch(interval -> interval.contains(cache, time));
    }
}
