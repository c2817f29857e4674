package pewtercourse.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests, attempts and orders of an emulation and records the rules that were violated. Confined to the
 * emulator's event loop.
 */
public final class EmulationResults {
    private static final int MAX_VIOLATIONS = 100;
    // The limits of the rules for drains and purges, each with some slack for the time that the sockets take.
    private static final long DRAIN_LIMIT_MICROS = 550_000;
    private static final long PURGE_LIMIT_MICROS = 1_050_000;

    /** Counts the client requests of one class at one site by their result. */
    public static final class RequestCounts {
        public int asked;
        public int inTime;
        public int late;
        public int refused;
        public int failed;
        public int lost;
        public double worth;
        public double worthInTime;

        /** Returns the share of the requested worth that was answered in time; 1 if nothing was requested. */
        public double share() {
            return worth == 0 ? 1 : worthInTime / worth;
        }

        void add(RequestCounts other) {
            asked += other.asked;
            inTime += other.inTime;
            late += other.late;
            refused += other.refused;
            failed += other.failed;
            lost += other.lost;
            worth += other.worth;
            worthInTime += other.worthInTime;
        }
    }

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runsByOrder = new HashMap<>();
    private final Map<String, Long> purgedAt = new HashMap<>();
    private final Map<String, Map<String, RequestCounts>> countsBySiteAndClass = new TreeMap<>();
    private final Map<String, Integer> attemptsBySite = new LinkedHashMap<>();

    void recordViolation(String violation) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(violation);
        }
    }

    /** Counts an attempt at a cache; one at a cache that has been draining for too long is a violation. */
    void recordAttempt(EmulatedCache cache, long now) {
        attemptsBySite.merge(cache.site, 1, Integer::sum);
        if (now - cache.drainingSince > DRAIN_LIMIT_MICROS) {
            recordViolation("an attempt at " + cache.name + " " + (now - cache.drainingSince) / 1_000 + " ms after it began to drain");
        }
    }

    /** Records that the order {@code requestId} ran at the origin; a second run is a violation. */
    void recordOrderRun(String requestId) {
        if (runsByOrder.merge(requestId, 1, Integer::sum) > 1) {
            recordViolation("order " + requestId + " ran twice");
        }
    }

    void recordPurge(String object, long now) {
        purgedAt.put(object, now);
    }

    /** Checks that a served copy is not older than a purge of its object that has had time to take effect. */
    void recordServedCopy(String object, long bornAt, long requestedAt) {
        Long purgeAt = purgedAt.get(object);
        if (purgeAt != null && bornAt < purgeAt && requestedAt > purgeAt + PURGE_LIMIT_MICROS) {
            recordViolation("a copy of " + object + " from before its purge, " + (requestedAt - purgeAt) / 1_000 + " ms after it");
        }
    }

    /** Returns the counts of one class at one site, which the caller updates. */
    RequestCounts counts(String site, String requestClass) {
        return countsBySiteAndClass.computeIfAbsent(site, name -> new TreeMap<>()).computeIfAbsent(requestClass, name -> new RequestCounts());
    }

    /** Returns the sum of the counts of all classes of a site. */
    public RequestCounts siteCounts(String site) {
        RequestCounts sum = new RequestCounts();
        countsBySiteAndClass.getOrDefault(site, Map.of()).values().forEach(sum::add);
        return sum;
    }

    /** Returns how many attempts reached the caches of a site. */
    public int attemptCount(String site) {
        return attemptsBySite.getOrDefault(site, 0);
    }

    /** Returns how many different orders ran at the origin. */
    public int orderCount() {
        return runsByOrder.size();
    }

    /** Returns a description of each violated rule, at most the first 100; empty if no rule was violated. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns a table of the request counts by site and class, followed by the violations. */
    public String text() {
        StringBuilder table = new StringBuilder(
                "site             class          asked  in time   late  refused  failed   lost   worth\n");
        countsBySiteAndClass.forEach((site, classes) -> classes.forEach((requestClass, counts) -> table.append(String.format(
                "%-16s %-12s %7d %8d %6d %8d %7d %6d %6.1f%%%n",
                site, requestClass, counts.asked, counts.inTime, counts.late, counts.refused, counts.failed, counts.lost, 100 * counts.share()))));
        violations.forEach(violation -> table.append("RULE BROKEN: ").append(violation).append('\n'));
        return table.append(violations.isEmpty() ? "rules kept\n" : "").toString();
    }
}
