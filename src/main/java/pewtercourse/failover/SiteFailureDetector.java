package pewtercourse.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Judges the health of the sites by the observations of all members, each of which may be stale or one-sided. Every
 * member feeds one, so that whichever gets the lease has the observations at hand. {@code now} is microseconds of this
 * member's monotonic clock.
 */
public final class SiteFailureDetector {
    // Older than any signal that still counts.
    private static final long NEVER = Long.MIN_VALUE / 2;

    private record MemberReport(long at, Map<String, SiteObservation> bySite) {}

    private record JudgedHealth(SiteHealth health, long since) {}

    /** When the last two observations that look like a loss came. */
    private record LossSignals(long previous, long latest) {
        static final LossSignals NONE = new LossSignals(NEVER, NEVER);

        LossSignals next(long now) {
            return new LossSignals(latest, now);
        }
    }

    private final Sites sites;
    private final Map<String, MemberReport> reports = new HashMap<>(); // By member.
    private final Map<String, JudgedHealth> judged = new HashMap<>(); // By site.
    private final Map<String, Double> loads = new TreeMap<>(); // By site.
    private final Map<String, LossSignals> lossSignals = new HashMap<>(); // By site.

    /** A detector that has seen nothing yet. */
    public SiteFailureDetector(Sites sites) {
        this.sites = sites;
    }

    /**
     * A detector for changed sites that keeps the observations of this one; how long a site's health lasts starts anew.
     */
    SiteFailureDetector withSites(Sites changed) {
        SiteFailureDetector detector = new SiteFailureDetector(changed);
        detector.reports.putAll(reports);
        detector.loads.putAll(loads);
        detector.lossSignals.putAll(lossSignals);
        return detector;
    }

    /** Takes in what a member has seen in the last seconds, by site. */
    public void observe(long now, String member, Map<String, SiteObservation> bySite) {
        reports.put(member, new MemberReport(now, Map.copyOf(bySite)));
        bySite.forEach((site, observation) -> {
            if (observation.signalsLoss()) {
                lossSignals.put(
                        site, lossSignals.getOrDefault(site, LossSignals.NONE).next(now));
            }
        });
        for (Site site : sites.byName().values()) {
            if (site.directors().contains(member) && bySite.containsKey(site.name())) {
                loads.put(site.name(), reportedLoad(site));
            }
        }
    }

    private double reportedLoad(Site site) {
        double load = 0;
        for (String director : site.directors()) {
            MemberReport report = reports.get(director);
            SiteObservation observation =
                    report == null ? null : report.bySite().get(site.name());
            load += observation == null ? 0 : observation.load();
        }
        return load;
    }

    /**
     * Concurrent transfers that each site's clients ask for, as last reported; a site whose directors fell silent keeps
     * its last load. A copy.
     */
    public SortedMap<String, Double> loads() {
        return new TreeMap<>(loads);
    }

    /**
     * Judges every site by the observations that are fresh now. To be called before {@link #health} and
     * {@link #healthAgeMicros}.
     *
     * @param absent members that the cluster counts as absent
     */
    public void judge(long now, Set<String> absent) {
        for (Site site : sites.byName().values()) {
            SiteHealth health = currentHealth(now, site, absent);
            JudgedHealth before = judged.get(site.name());
            boolean lasts = before != null && sameLoss(before.health(), health);
            judged.put(site.name(), new JudgedHealth(health, lasts ? before.since() : now));
        }
    }

    // A loss whose extent shows bit by bit is one loss.
    private static boolean sameLoss(SiteHealth before, SiteHealth now) {
        return before == now || before.lost() && now.lost();
    }

    /** The health of a site at the last judgement; well before the first. */
    public SiteHealth health(String site) {
        JudgedHealth last = judged.get(site);
        return last == null ? SiteHealth.WELL : last.health();
    }

    /** How long the site has been in this health, in microseconds. */
    public long healthAgeMicros(long now, String site) {
        JudgedHealth last = judged.get(site);
        return last == null ? 0 : now - last.since();
    }

    /**
     * Whether at least two fresh observations looked like a loss. A single one may be bad by chance, and if its
     * director falls silent after it, nothing contradicts it while it counts.
     */
    public boolean lossConfirmed(long now, String site) {
        LossSignals signals = lossSignals.getOrDefault(site, LossSignals.NONE);
        return now - signals.previous() <= sites.timing().observationLifetimeMicros();
    }

    /** Recent attempts at a site's caches by its own directors: they set the pace of its recovery. */
    public AttemptCounts ownAttempts(long now, String site) {
        AttemptCounts sum = AttemptCounts.NONE;
        for (String director : sites.byName().get(site).directors()) {
            MemberReport report = reports.get(director);
            SiteObservation observation =
                    report != null && fresh(now, report) ? report.bySite().get(site) : null;
            sum = observation == null ? sum : sum.plus(observation.attempts());
        }
        return sum;
    }

    private boolean fresh(long now, MemberReport report) {
        return now - report.at() <= sites.timing().observationLifetimeMicros();
    }

    private SiteHealth currentHealth(long now, Site site, Set<String> absent) {
        SiteEvidence evidence = new SiteEvidence();
        reports.forEach((member, report) -> {
            if (!absent.contains(member) && fresh(now, report)) {
                addReport(evidence, site, member, report);
            }
        });
        return evidence.health(evidence.noDirectorHeard() && expectsDirectors(site, absent));
    }

    private static void addReport(SiteEvidence evidence, Site site, String member, MemberReport report) {
        boolean fromInside = site.directors().contains(member);
        if (fromInside) {
            evidence.directorHeard();
        }
        SiteObservation observation = report.bySite().get(site.name());
        if (observation != null) {
            evidence.add(observation, fromInside);
        }
    }

    // After a start the silence of directors that were never heard from means nothing.
    private boolean expectsDirectors(Site site, Set<String> absent) {
        return !site.directors().isEmpty()
                && !reports.isEmpty()
                && site.directors().stream()
                        .allMatch(director -> absent.contains(director) || reports.containsKey(director));
    }

    /** Forgets the reports of all other members. */
    public void retainMembers(Collection<String> members) {
        reports.keySet().retainAll(members);
    }
}
