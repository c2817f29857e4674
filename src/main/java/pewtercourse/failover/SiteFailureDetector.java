package pewtercourse.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assesses the health of the sites from the observations of all members; each observation may be stale or show only one
 * member's view. Every member passes all observations to its own detector, so the next lease holder has them already.
 * {@code now} is in microseconds of this member's monotonic clock.
 */
public final class SiteFailureDetector {
    // A time before all signals that are still in use.
    private static final long NEVER = Long.MIN_VALUE / 2;

    private record MemberReport(long receivedAt, Map<String, SiteObservation> bySite) {}

    private record HealthAssessment(SiteHealth health, long since) {}

    /** The times of the last two observations that look like a loss. */
    private record LossSignals(long previousAt, long latestAt) {
        static final LossSignals NONE = new LossSignals(NEVER, NEVER);

        LossSignals withSignal(long now) {
            return new LossSignals(latestAt, now);
        }
    }

    private final Sites sites;
    private final Map<String, MemberReport> reports = new HashMap<>(); // By member.
    private final Map<String, HealthAssessment> assessments = new HashMap<>(); // By site.
    private final Map<String, Double> loads = new TreeMap<>(); // By site.
    private final Map<String, LossSignals> lossSignals = new HashMap<>(); // By site.

    /** Creates a detector without observations. */
    public SiteFailureDetector(Sites sites) {
        this.sites = sites;
    }

    /**
     * Returns a detector for the changed sites that keeps the observations of this one. The age of each site's health
     * starts again.
     */
    SiteFailureDetector withSites(Sites changed) {
        SiteFailureDetector detector = new SiteFailureDetector(changed);
        detector.reports.putAll(reports);
        detector.loads.putAll(loads);
        detector.lossSignals.putAll(lossSignals);
        return detector;
    }

    /** Records a member's recent observations, by site. */
    public void observe(long now, String member, Map<String, SiteObservation> bySite) {
        reports.put(member, new MemberReport(now, Map.copyOf(bySite)));
        bySite.forEach((site, observation) -> {
            if (observation.signalsLoss()) {
                lossSignals.put(
                        site, lossSignals.getOrDefault(site, LossSignals.NONE).withSignal(now));
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
     * Returns a copy of the last reported loads by site: the concurrent transfers that the site's clients request. A
     * site whose directors stop reporting keeps its last load.
     */
    public SortedMap<String, Double> loads() {
        return new TreeMap<>(loads);
    }

    /**
     * Assesses every site by the observations that are fresh now. Call this before {@link #health} and
     * {@link #healthAgeMicros}.
     *
     * @param absent members that the cluster counts as absent
     */
    public void assessSites(long now, Set<String> absent) {
        for (Site site : sites.byName().values()) {
            SiteHealth health = currentHealth(now, site, absent);
            HealthAssessment before = assessments.get(site.name());
            boolean unchanged = before != null && sameLoss(before.health(), health);
            assessments.put(site.name(), new HealthAssessment(health, unchanged ? before.since() : now));
        }
    }

    // A loss counts as the same loss if only its extent changes, because the extent may show step by step.
    private static boolean sameLoss(SiteHealth before, SiteHealth now) {
        return before == now || before.lost() && now.lost();
    }

    /** The health of a site at the last assessment; {@link SiteHealth#WELL} before the first one. */
    public SiteHealth health(String site) {
        HealthAssessment last = assessments.get(site);
        return last == null ? SiteHealth.WELL : last.health();
    }

    /** How long the site has had this health, in microseconds. */
    public long healthAgeMicros(long now, String site) {
        HealthAssessment last = assessments.get(site);
        return last == null ? 0 : now - last.since();
    }

    /**
     * Whether at least two fresh observations looked like a loss. A single observation may look so by chance, and if
     * its director then stops reporting, no later observation contradicts it while it is fresh.
     */
    public boolean lossConfirmed(long now, String site) {
        LossSignals signals = lossSignals.getOrDefault(site, LossSignals.NONE);
        return now - signals.previousAt() <= sites.timing().observationLifetimeMicros();
    }

    /** The recent attempts at a site's caches by the site's own directors, which set the pace of its recovery. */
    public AttemptCounts ownAttempts(long now, String site) {
        AttemptCounts sum = AttemptCounts.NONE;
        for (String director : sites.byName().get(site).directors()) {
            MemberReport report = reports.get(director);
            SiteObservation observation =
                    report != null && isFresh(now, report) ? report.bySite().get(site) : null;
            sum = observation == null ? sum : sum.plus(observation.attempts());
        }
        return sum;
    }

    private boolean isFresh(long now, MemberReport report) {
        return now - report.receivedAt() <= sites.timing().observationLifetimeMicros();
    }

    private SiteHealth currentHealth(long now, Site site, Set<String> absent) {
        SiteEvidence evidence = new SiteEvidence();
        reports.forEach((member, report) -> {
            if (!absent.contains(member) && isFresh(now, report)) {
                addReport(evidence, site, member, report);
            }
        });
        return evidence.health(evidence.noDirectorReported() && expectsDirectorReports(site, absent));
    }

    private static void addReport(SiteEvidence evidence, Site site, String member, MemberReport report) {
        boolean fromOwnDirector = site.directors().contains(member);
        if (fromOwnDirector) {
            evidence.recordDirectorReport();
        }
        SiteObservation observation = report.bySite().get(site.name());
        if (observation != null) {
            evidence.add(observation, fromOwnDirector);
        }
    }

    // A director that has never reported since this member started may just not have had the time to report.
    private boolean expectsDirectorReports(Site site, Set<String> absent) {
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
