package pewtercourse.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What an emulated site saw, counted, and the rules that were violations. On the emulator's event loop. */
public final class EmulationResults {
    private static final int BROKEN_MOST = 100;
    // Drains and purges as the rules have them, each limit longer by what sockets take.
    private static final long DRAIN = 550_000, PURGE = 1_050_000;

    /** Clients' requests of one class at one site. */
    public static final class RequestCounts {
        public int asked, inTime, late, refused, failed, lost;
        public double worth, worthInTime;

        /** Worth answered in time over worth asked for. */
        public double share() {
            return worth == 0 ? 1 : worthInTime / worth;
        }

        void add(RequestCounts o) {
            asked += o.asked;
            inTime += o.inTime;
            late += o.late;
            refused += o.refused;
            failed += o.failed;
            lost += o.lost;
            worth += o.worth;
            worthInTime += o.worthInTime;
        }
    }

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> purgedAt = new HashMap<>();
    private final Map<String, Map<String, RequestCounts>> tallies = new TreeMap<>(); // By site, by class.
    private final Map<String, Integer> attempts = new LinkedHashMap<>(); // By site.

    void recordViolation(String violation) {
        if (violations.size() < BROKEN_MOST) {
            violations.add(violation);
        }
    }

    void attempt(EmulatedCache c, long now) {
        attempts.merge(c.site, 1, Integer::sum);
        if (now - c.drainingSince > DRAIN) {
            recordViolation("an attempt at " + c.name + " " + (now - c.drainingSince) / 1_000 + " ms after it began to drain");
        }
    }

    /** An order ran at the origin. */
    void ran(String id) {
        if (runs.merge(id, 1, Integer::sum) > 1) {
            recordViolation("order " + id + " ran twice");
        }
    }

    void purged(String object, long now) {
        purgedAt.put(object, now);
    }

    void copyServed(String object, long bornAt, long askedAt) {
        Long purge = purgedAt.get(object);
        if (purge != null && bornAt < purge && askedAt > purge + PURGE) {
            recordViolation("a copy of " + object + " from before its purge, " + (askedAt - purge) / 1_000 + " ms after it");
        }
    }

    RequestCounts tally(String site, String cls) {
        return tallies.computeIfAbsent(site, s -> new TreeMap<>()).computeIfAbsent(cls, c -> new RequestCounts());
    }

    /** All classes of a site together. */
    public RequestCounts siteCounts(String site) {
        RequestCounts all = new RequestCounts();
        tallies.getOrDefault(site, Map.of()).values().forEach(all::add);
        return all;
    }

    /** Attempts that came to a site's caches. */
    public int attemptCount(String site) {
        return attempts.getOrDefault(site, 0);
    }

    /** Orders that ran. */
    public int orderCount() {
        return runs.size();
    }

    /** Rules that were broken, in words; empty if none was. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** A table of what clients got. */
    public String text() {
        StringBuilder t = new StringBuilder(
                "site             class          asked  in time   late  refused  failed   lost   worth\n");
        tallies.forEach((site, classes) -> classes.forEach((cls, x) -> t.append(String.format(
                "%-16s %-12s %7d %8d %6d %8d %7d %6d %6.1f%%%n",
                site, cls, x.asked, x.inTime, x.late, x.refused, x.failed, x.lost, 100 * x.share()))));
        violations.forEach(b -> t.append("RULE BROKEN: ").append(b).append('\n'));
        return t.append(violations.isEmpty() ? "rules kept\n" : "").toString();
    }
}
