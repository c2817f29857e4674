package pewtercourse.emulator;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Models one cache without sockets: its concurrency, its warm-up after a start, its collapse when it is overloaded while
 * cold, the requests that it rejects, and its copies with their ranks and ages. Times are in microseconds; the work of a
 * transfer is the time that it takes when no other transfer runs. Not thread-safe.
 */
public final class CacheModel {
    /**
     * The parameters of a cache.
     *
     * @param capacity transfers that a warm cache runs at the same time at full speed
     * @param queueFactor multiple of the present capacity from which the cache rejects requests
     * @param maxCopies number of objects that the cache stores
     * @param coldShare share of {@code capacity} that a cold cache starts with
     * @param warmUpMicros time until the cache is warm; its capacity grows linearly until then
     * @param collapseFactor multiple of the present capacity; a cold cache collapses if the requests that arrive during
     *     {@code collapseWindowMicros} exceed it
     * @param collapseWindowMicros time over which the load of a cold cache is measured; 0 if it never collapses
     */
    public record Settings(
            double capacity,
            double queueFactor,
            int maxCopies,
            double coldShare,
            long warmUpMicros,
            double collapseFactor,
            long collapseWindowMicros) {}

    /** The result of a request at a modelled cache. */
    public enum Outcome {
        HIT,
        FILL,
        MISS,
        FULL,
        DOWN
    }

    /** A cache's answer; {@code durationMicros} is the time until the answer has been sent, without the fill. */
    public record Answer(Outcome outcome, long durationMicros, long bornAtMicros) {}

    private static final class Copy {
        int rank;
        long bornAt;
    }

    private final Settings settings;
    private final Map<Long, Copy> copies = new LinkedHashMap<>(64, 0.75f, true);
    private final ArrayDeque<double[]> recentRequests =
            new ArrayDeque<>(); // While cold: the time and the work of each request.
    private double recentWork;
    private long startedAt = Long.MIN_VALUE;
    private boolean processRunning = true;
    private boolean collapsed;
    private int coldOverloadCount;
    private int transfersInFlight;

    /** Creates a warm cache without copies. */
    public CacheModel(Settings settings) {
        this.settings = settings;
    }

    /** Ends the process of the cache; its copies are lost. */
    public void kill() {
        processRunning = false;
        copies.clear();
        transfersInFlight = 0;
    }

    /** Starts the process, cold and without copies. */
    public void start(long now) {
        processRunning = true;
        collapsed = false;
        startedAt = now;
        recentRequests.clear();
        recentWork = 0;
        copies.clear();
        transfersInFlight = 0;
    }

    /** Tells whether the process runs and has not collapsed. */
    public boolean isUp() {
        return processRunning && !collapsed;
    }

    /** Returns how often the cache collapsed because it was overloaded while cold. */
    public int coldOverloadCount() {
        return coldOverloadCount;
    }

    /** Returns the number of transfers in flight. */
    public int transfersInFlight() {
        return transfersInFlight;
    }

    /** Returns the time of the last start, or 0 if the cache was never started since its creation. */
    public long startedAt() {
        return Math.max(0, startedAt);
    }

    /** Returns the share of its full capacity that the cache has now: 1 when it is warm. */
    public double warmth(long now) {
        if (startedAt == Long.MIN_VALUE || settings.warmUpMicros() <= 0) {
            return 1;
        }
        return Math.min(
                1, settings.coldShare() + (1 - settings.coldShare()) * (now - startedAt) / settings.warmUpMicros());
    }

    /**
     * Handles a request. Every request adds to the load that may make a cold cache collapse, also a rejected one. A HIT
     * or FILL is in flight until {@link #endTransfer}.
     *
     * @param mayFill whether an object without a usable copy may be fetched from upstream
     * @param retentionRank the rank at which the object is stored, 0 if it is not stored
     * @param maxAgeMicros the maximum age of a usable copy, 0 for any age
     */
    public Answer handleRequest(
            long now, long object, long work, boolean mayFill, int retentionRank, long maxAgeMicros) {
        if (!isUp()) {
            return new Answer(Outcome.DOWN, 0, 0);
        }
        double capacity = settings.capacity() * warmth(now);
        recordLoad(now, work, capacity);
        if (collapsed) {
            return new Answer(Outcome.DOWN, 0, 0);
        }
        if (transfersInFlight >= settings.queueFactor() * capacity) {
            return new Answer(Outcome.FULL, 0, 0);
        }
        Copy copy = copies.get(object);
        boolean hit = copy != null && (maxAgeMicros == 0 || now - copy.bornAt <= maxAgeMicros);
        if (!hit && !mayFill) {
            return new Answer(Outcome.MISS, 0, 0);
        }
        transfersInFlight++;
        long durationMicros = (long) (work * Math.max(1, transfersInFlight / capacity));
        long bornAtMicros = now;
        if (hit) {
            copy.rank = Math.max(copy.rank, retentionRank);
            bornAtMicros = copy.bornAt;
        } else if (retentionRank > 0) {
            store(object, retentionRank, now);
        }
        return new Answer(hit ? Outcome.HIT : Outcome.FILL, durationMicros, bornAtMicros);
    }

    private void recordLoad(long now, long work, double capacity) {
        if (warmth(now) >= 1 || settings.collapseWindowMicros() <= 0) {
            return;
        }
        recentRequests.addLast(new double[] {now, work});
        recentWork += work;
        while (!recentRequests.isEmpty() && recentRequests.peekFirst()[0] <= now - settings.collapseWindowMicros()) {
            recentWork -= recentRequests.pollFirst()[1];
        }
        double collapseWork = settings.collapseFactor() * capacity * settings.collapseWindowMicros();
        // Allows a few requests more than the threshold, because the number of requests varies by chance.
        double meanWork = recentWork / Math.max(1, recentRequests.size());
        double requestThreshold = collapseWork / Math.max(1, meanWork);
        double margin =
                requestThreshold < 30 ? 3 * Math.sqrt(requestThreshold) + 3 : 2 * Math.sqrt(requestThreshold) + 2;
        if (recentRequests.size() > requestThreshold + margin) {
            collapsed = true;
            coldOverloadCount++;
            copies.clear();
            transfersInFlight = 0;
        }
    }

    private void store(long object, int rank, long bornAt) {
        Copy copy = copies.get(object);
        if (copy == null) {
            if (copies.size() >= settings.maxCopies() && !evictFor(rank)) {
                return;
            }
            copy = new Copy();
            copies.put(object, copy);
        }
        copy.rank = rank;
        copy.bornAt = bornAt;
    }

    // Evicts the least recently used copy of the lowest rank among the 64 least recently used copies. Evicts nothing if
    // all of these have a higher rank than the new copy.
    private boolean evictFor(int newRank) {
        Long victim = null;
        int lowestRank = newRank + 1;
        int inspected = 0;
        for (Iterator<Map.Entry<Long, Copy>> i = copies.entrySet().iterator();
                i.hasNext() && inspected < 64;
                inspected++) {
            Map.Entry<Long, Copy> entry = i.next();
            if (entry.getValue().rank < lowestRank) {
                lowestRank = entry.getValue().rank;
                victim = entry.getKey();
            }
        }
        return victim != null && copies.remove(victim) != null;
    }

    /** Discards all copies. */
    public void discardCopies() {
        copies.clear();
    }

    /** Ends one transfer that {@link #handleRequest} started. */
    public void endTransfer() {
        transfersInFlight = Math.max(0, transfersInFlight - 1);
    }
}
