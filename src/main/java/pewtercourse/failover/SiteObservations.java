package pewtercourse.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.cache.End;

/** What this director sees of sites: how its attempts at their caches end, and what its list has. Knows no sockets. */
public final class SiteObservations {
    // What is told covers this time, in parts of half of it; a list's usual size is its greatest of so long.
    private static final long COVERS = 2_000_000;
    private static final long USUAL_OVER = 600_000_000;

    private static final class Counts {
        int good, late, bad, refused;
        double work;
    }

    private static final class Usual {
        int most;
        long at;

        // A list that stays shorter for long is the usual one.
        int of(long now, int count) {
            if (count >= most || now - at > USUAL_OVER) {
                most = count;
                at = now;
            }
            return most;
        }
    }

    private final String own;
    private final Map<String, Counts> before = new HashMap<>(), current = new HashMap<>();
    private final Map<String, Usual> usual = new HashMap<>();
    private long turnedAt;

    /** {@code own}: the site of this director. */
    public SiteObservations(String own) {
        this.own = own;
    }

    private Counts counts(long now, String site) {
        if (now - turnedAt >= COVERS / 2) {
            before.clear();
            if (now - turnedAt < COVERS) {
                before.putAll(current);
            }
            current.clear();
            turnedAt = now;
        }
        return current.computeIfAbsent(site, s -> new Counts());
    }

    /** A request of this director's clients came. {@code work}: how long its answer takes to send. */
    public void asked(long now, double work) {
        counts(now, own).work += work;
    }

    /** An attempt at a cache of this site ended. {@code slow}: it took longer than its class's aim. */
    public void ended(long now, String site, End end, boolean slow) {
        Counts c = counts(now, site);
        switch (end) {
            case SERVED, NOT_MODIFIED, MISS -> {
                c.good += slow ? 0 : 1;
                c.late += slow ? 1 : 0;
            }
            case FULL -> c.late++;
            case CANCELLED -> c.late += slow ? 1 : 0;
            case REFUSED, CONNECT_TIMEOUT, RESET, MALFORMED, TIMEOUT -> c.bad++;
            // What the origin may have caused, or this director, says nothing of the site.
            case ERROR, EXPIRED, OVERTAKEN, NO_DESCRIPTOR, CANCELLED_UNSENT -> {}
        }
    }

    /** The module refused one for the own site: there is no room. */
    public void refused(long now) {
        counts(now, own).refused++;
    }

    /** By site. {@code caches}, {@code parents}: those listed as ready, by zone. */
    public Map<String, SiteObservation> told(
            long now, Sites sites, Map<String, Integer> caches, Map<String, Integer> parents) {
        counts(now, own);
        Map<String, SiteObservation> told = new TreeMap<>();
        Set<String> names = new TreeSet<>(sites.sites().keySet());
        for (String name : names) {
            Site s = sites.sites().get(name);
            int ready = caches.getOrDefault(name, 0), up = s.hub().isEmpty() ? 0 : parents.getOrDefault(s.hub(), 0);
            Counts a = before.getOrDefault(name, new Counts()), b = current.getOrDefault(name, new Counts());
            long over = Math.max(1, Math.min(COVERS, now - turnedAt + COVERS / 2));
            told.put(
                    name,
                    new SiteObservation(
                            usual.computeIfAbsent(name, n -> new Usual()).of(now, ready),
                            ready,
                            s.hub().isEmpty()
                                    ? 0
                                    : usual.computeIfAbsent("hub " + s.hub(), n -> new Usual())
                                            .of(now, up),
                            up,
                            a.good + b.good,
                            a.late + b.late,
                            a.bad + b.bad,
                            a.refused + b.refused,
                            name.equals(own) ? (a.work + b.work) / over : 0));
        }
        return told;
    }
}
