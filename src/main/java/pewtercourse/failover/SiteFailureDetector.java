package pewtercourse.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Judges how sites are from what all members see of them: many weak signs, each of which may be stale or one-sided.
 * Every member feeds one, so that whoever gets the duty has it at hand. {@code now} is microseconds of the own
 * monotonic clock.
 */
public final class SiteFailureDetector {
    // Fewer ends than these prove nothing.
    private static final int ENDS_LEAST = 4, REFUSED_LEAST = 8;
    // Shares of failed attempts from which caches fail, and up to which they are well; of slow answers, from which a
    // site is slow.
    private static final double FAILS = 0.8, WELL = 0.25, SLOW = 0.7, HALF = 0.5;

    private record Seen(long at, Map<String, SiteObservation> siteObservations) {}

    private record Since(SiteHealth health, long at) {}

    private final Sites sites;
    private final Map<String, Seen> seen = new HashMap<>(); // By member.
    private final Map<String, Since> since = new HashMap<>(); // By site: what it looks like now.
    private final Map<String, Double> loads = new TreeMap<>();
    private final Map<String, long[]> failing = new HashMap<>(); // By site: when the last two sights told of a loss.

    public SiteFailureDetector(Sites sites) {
        this.sites = sites;
    }

    /** The same with what was seen so far, for sites that are described anew. */
    SiteFailureDetector with(Sites to) {
        SiteFailureDetector d = new SiteFailureDetector(to);
        d.seen.putAll(seen);
        d.loads.putAll(loads);
        d.failing.putAll(failing);
        return d;
    }

    /** A member tells what it has seen of late. */
    public void see(long now, String member, Map<String, SiteObservation> siteObservations) {
        seen.put(member, new Seen(now, Map.copyOf(siteObservations)));
        siteObservations.forEach((site, s) -> {
            boolean told =
                    s.ends() >= ENDS_LEAST || s.bad() > 0 && s.good() + s.late() == 0 && s.refused() >= REFUSED_LEAST;
            if (told && s.bad() >= FAILS * s.ends() || s.usual() > 0 && s.ready() == 0) {
                long[] last = failing.computeIfAbsent(site, n -> new long[] {Long.MIN_VALUE / 2, Long.MIN_VALUE / 2});
                last[0] = last[1];
                last[1] = now;
            }
        });
        for (Site s : sites.sites().values()) {
            if (s.directors().contains(member) && siteObservations.containsKey(s.name())) {
                double load = 0;
                for (String d : s.directors()) {
                    SiteObservation of =
                            seen.containsKey(d) ? seen.get(d).siteObservations().get(s.name()) : null;
                    load += of == null ? 0 : of.load();
                }
                loads.put(s.name(), load);
            }
        }
    }

    /** Transfers at once that each site's clients ask for, as was last told; one that fell silent keeps what it had. */
    public SortedMap<String, Double> loads() {
        return new TreeMap<>(loads);
    }

    /** Takes in the time and who is silent. To be called before {@link #health} and {@link #lasts}. */
    public void judge(long now, Set<String> absent) {
        for (Site s : sites.sites().values()) {
            SiteHealth h = raw(now, s, absent);
            Since before = since.get(s.name());
            if (before == null || before.health() != h && !alike(before.health(), h)) {
                since.put(s.name(), new Since(h, now));
            } else {
                since.put(s.name(), new Since(h, before.at()));
            }
        }
    }

    // A loss whose extent shows bit by bit is one loss.
    private static boolean alike(SiteHealth a, SiteHealth b) {
        return a.lost() && b.lost();
    }

    public SiteHealth health(String site) {
        Since s = since.get(site);
        return s == null ? SiteHealth.WELL : s.health();
    }

    /** How long it has looked so. */
    public long lasts(long now, String site) {
        Since s = since.get(site);
        return s == null ? 0 : now - s.at();
    }

    /**
     * Whether two sights have told of a loss of late. Guards against one that is bad by chance, after which its director falls
     * silent: nothing would contradict it while it counts.
     */
    public boolean confirmed(long now, String site) {
        long[] last = failing.get(site);
        return last != null && now - last[0] <= sites.timing().fresh();
    }

    /** Attempts at a site's caches by its own directors of late: good, late and bad ones; for the pace of its return. */
    public SiteObservation ownEnds(long now, String site) {
        int good = 0, late = 0, bad = 0, refused = 0;
        for (String d : sites.sites().get(site).directors()) {
            SiteObservation s = fresh(now, d, site);
            if (s != null) {
                good += s.good();
                late += s.late();
                bad += s.bad();
                refused += s.refused();
            }
        }
        return new SiteObservation(0, 0, 0, 0, good, late, bad, refused, 0);
    }

    private SiteObservation fresh(long now, String member, String site) {
        Seen s = seen.get(member);
        return s == null || now - s.at() > sites.timing().fresh()
                ? null
                : s.siteObservations().get(site);
    }

    private SiteHealth raw(long now, Site s, Set<String> absent) {
        boolean staffed = !s.directors().isEmpty(), heard = false, ownWell = false;
        int good = 0, late = 0, bad = 0, refused = 0, listeners = 0, empty = 0, half = 0, noParents = 0;
        for (Map.Entry<String, Seen> e : seen.entrySet()) {
            SiteObservation sight = fresh(now, e.getKey(), s.name());
            boolean own = s.directors().contains(e.getKey());
            heard |= own
                    && !absent.contains(e.getKey())
                    && now - e.getValue().at() <= sites.timing().fresh();
            if (sight == null || absent.contains(e.getKey())) {
                continue;
            }
            good += sight.good();
            late += sight.late();
            bad += sight.bad();
            refused += sight.refused();
            ownWell |= own && sight.ends() >= ENDS_LEAST && sight.bad() <= WELL * sight.ends();
            if (sight.usual() > 0) {
                listeners++;
                empty += sight.ready() == 0 ? 1 : 0;
                half += sight.ready() < HALF * sight.usual() ? 1 : 0;
                noParents += sight.parents() > 0 && sight.up() == 0 ? 1 : 0;
            }
        }
        int ends = good + late + bad;
        // A director's module soon leaves dead caches alone: few attempts fail, and all else is refused.
        boolean told = ends >= ENDS_LEAST || bad > 0 && good + late == 0 && refused >= REFUSED_LEAST;
        // Lists come late and shrink by mistake: an empty one counts where most have it and no attempt says otherwise.
        boolean unlisted = listeners > 0 && 2 * empty > listeners && (!told || bad > WELL * ends);
        boolean fails = told && bad >= FAILS * ends && !ownWell || unlisted;
        boolean silent = staffed
                && !heard
                && !seen.isEmpty()
                && s.directors().stream().allMatch(d -> absent.contains(d) || seen.containsKey(d));
        if (fails) {
            return silent ? SiteHealth.ALL : SiteHealth.CACHES;
        }
        if (silent) {
            return SiteHealth.DIRECTORS;
        }
        if (listeners > 0 && 2 * noParents > listeners) {
            return SiteHealth.PARENTS;
        }
        if (told && bad > WELL * ends || listeners > 0 && 2 * half > listeners) {
            return SiteHealth.PARTLY;
        }
        return told && late >= SLOW * (good + late) ? SiteHealth.SLOW : SiteHealth.WELL;
    }

    /** Members' sights that are kept, of no more members than these. */
    public void members(Collection<String> members) {
        seen.keySet().retainAll(members);
    }
}
