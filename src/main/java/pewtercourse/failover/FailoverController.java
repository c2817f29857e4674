package pewtercourse.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;

/**
 * The acts of whoever keeps the sites: declares losses, paces returns and has plans made before they are needed. Fed at
 * every member; what it counts by its own clock begins anew where the duty changes hands, what is agreed does not.
 */
public final class FailoverController {
    /** A change to be agreed on. {@code after}: the entry that it builds on. */
    public record Declaration(
            String site, SiteStatus.Phase phase, SiteHealth health, int step, int flaps, long after) {}

    /** What a plan is made from. */
    public record Question(SortedMap<String, Double> loads, Set<String> lost, Set<String> unfit, FailoverPlan before) {}

    // Of its ends at a step: failed ones from which it steps back, and up to which it goes on; slow ones up to which it
    // does.
    private static final double TROUBLE = 0.2, FINE = 0.05, LATE_FINE = 0.5;
    private static final int ENDS_LEAST = 4;
    // Without any ends, as where nobody asks, a step lasts so many times as long.
    private static final int BLIND = 3;
    private static final long PLAN_EVERY = 5_000_000, PLAN_MOST = 2_000_000, ORDER_AGAIN = 300_000;

    private final Sites sites;
    private final SiteFailureDetector detector;
    private final Map<String, Long> entryOf = new HashMap<>(), entrySeen = new HashMap<>(), ordered = new HashMap<>();
    private Set<String> plannedFor = Set.of(), plannedLoads = Set.of();
    private long planAt = Long.MIN_VALUE, askedAt = Long.MIN_VALUE;
    private FailoverPlan answer;

    public FailoverController(Sites sites) {
        this(sites, new SiteFailureDetector(sites));
    }

    private FailoverController(Sites sites, SiteFailureDetector detector) {
        this.sites = sites;
        this.detector = detector;
    }

    /** One that goes on with what was seen so far, for sites that are described anew. */
    public FailoverController with(Sites to) {
        return new FailoverController(to, detector.with(to));
    }

    public SiteFailureDetector detector() {
        return detector;
    }

    /** Whether or not it keeps them: when each site's last change was seen. */
    public void see(long now, FailoverState failover) {
        for (String s : sites.sites().keySet()) {
            long entry = failover.status(s).entry();
            if (!Long.valueOf(entry).equals(entryOf.put(s, entry))) {
                entrySeen.put(s, now);
                ordered.remove(s);
            }
        }
    }

    /** What it has to have agreed now; to be asked only where it holds the duty. */
    public List<Declaration> orders(long now, FailoverState failover, Set<String> absent) {
        see(now, failover);
        detector.judge(now, absent);
        ordered.values().removeIf(at -> now - at >= ORDER_AGAIN);
        List<Declaration> orders = new ArrayList<>();
        for (String site : sites.sites().keySet()) {
            Declaration d = next(now, site, failover.status(site));
            if (d != null && ordered.putIfAbsent(site, now) == null) {
                orders.add(d);
            }
        }
        return orders;
    }

    private Declaration next(long now, String site, SiteStatus s) {
        SiteHealth h = detector.health(site);
        long lasts = detector.lasts(now, site), stood = now - entrySeen.get(site);
        Sites.Timing t = sites.timing();
        int last = t.steps().size() - 1;
        switch (s.phase()) {
            case WHOLE, IMPAIRED -> {
                if (s.drill()) {
                    return last == 0 ? lost(site, s, SiteHealth.WELL, s.flaps()) : step(site, s, Math.max(0, last - 1));
                }
                if (h.lost()) {
                    return lasts >= t.lostAfter() && detector.confirmed(now, site) ? lost(site, s, h, s.flaps()) : null;
                }
                if (h == SiteHealth.WELL) {
                    boolean calm = s.flaps() > 0 && lasts >= t.flapMost() && stood >= t.flapMost();
                    return calm || s.phase() == SiteStatus.Phase.IMPAIRED && lasts >= t.lostAfter()
                            ? new Declaration(site, SiteStatus.Phase.WHOLE, h, 0, calm ? 0 : s.flaps(), s.entry())
                            : null;
                }
                return h != s.health() && lasts >= t.lostAfter() / 2
                        ? new Declaration(site, SiteStatus.Phase.IMPAIRED, h, 0, s.flaps(), s.entry())
                        : null;
            }
            case LOST -> {
                boolean well = !h.lost() && h != SiteHealth.SLOW && h != SiteHealth.PARENTS;
                long wait = Math.min(t.flapMost(), t.backAfter() << Math.min(20, s.flaps()));
                return !s.held() && !s.drill() && well && lasts >= wait && stood >= wait ? step(site, s, 0) : null;
            }
            default -> {
                return onTheWay(site, s, h, lasts, stood, detector.ownEnds(now, site), last);
            }
        }
    }

    private Declaration onTheWay(
            String site, SiteStatus s, SiteHealth h, long lasts, long stood, SiteObservation ends, int last) {
        Sites.Timing t = sites.timing();
        if (h.lost() && lasts >= t.lostAfter() / 2) {
            return lost(site, s, h, s.flaps() + 1);
        }
        // A sight covers some time before it was told: what it says of a step is known once that is over.
        if (stood < Math.min(t.step(), t.fresh()) / 2) {
            return null;
        }
        if (s.drill()) {
            return stood < t.step()
                    ? null
                    : s.step() == 0 ? lost(site, s, SiteHealth.WELL, s.flaps()) : step(site, s, s.step() - 1);
        }
        boolean told = ends.ends() >= ENDS_LEAST;
        if (told && ends.bad() >= TROUBLE * ends.ends()) {
            return s.step() == 0 ? lost(site, s, h, s.flaps() + 1) : step(site, s, s.step() - 1);
        }
        // What is refused for lack of room is as good as late: cold caches can't bear the next step yet.
        int slow = ends.late() + ends.refused(), all = ends.ends() + ends.refused();
        boolean fine = told ? ends.bad() <= FINE * ends.ends() && slow <= LATE_FINE * all : stood >= BLIND * t.step();
        if (s.held() || stood < t.step() || !fine) {
            return null;
        }
        return s.step() >= last
                ? new Declaration(site, SiteStatus.Phase.WHOLE, h, 0, s.flaps(), s.entry())
                : step(site, s, s.step() + 1);
    }

    private static Declaration lost(String site, SiteStatus s, SiteHealth h, int flaps) {
        return new Declaration(site, SiteStatus.Phase.LOST, h, 0, flaps, s.entry());
    }

    private static Declaration step(String site, SiteStatus s, int step) {
        return new Declaration(site, SiteStatus.Phase.RETURNING, s.health(), step, s.flaps(), s.entry());
    }

    // ---- Plans: asked for here, made elsewhere ----

    /** What a plan is to be made from now, or null: none is due, or one is being made. */
    public Question question(long now, FailoverState failover) {
        Set<String> lost = failover.away();
        lost.retainAll(sites.sites().keySet());
        boolean waits = askedAt != Long.MIN_VALUE && now - askedAt < PLAN_MOST;
        // The first that is heard of a site's load counts at once: without it the plan has nothing to place.
        Set<String> loaded = detector.loads().keySet();
        if (waits || now < planAt && lost.equals(plannedFor) && loaded.equals(plannedLoads)) {
            return null;
        }
        plannedLoads = Set.copyOf(loaded);
        planAt = now + PLAN_EVERY;
        plannedFor = lost;
        askedAt = now;
        Set<String> unfit = new TreeSet<>();
        failover.statuses().forEach((name, s) -> {
            if (s.phase() != SiteStatus.Phase.WHOLE) {
                unfit.add(name);
            }
        });
        return new Question(detector.loads(), lost, unfit, failover.plan());
    }

    /** A plan was made; one that comes too late, or not at all, leaves the last one in force. */
    public void answered(long now, FailoverPlan plan) {
        if (askedAt != Long.MIN_VALUE && now - askedAt < PLAN_MOST) {
            answer = plan;
        }
        askedAt = Long.MIN_VALUE;
    }

    /** The plan that is to be agreed on, or null. */
    public FailoverPlan planned(FailoverState failover) {
        FailoverPlan p = answer;
        answer = null;
        return p == null || p.equals(failover.plan()) ? null : p;
    }
}
