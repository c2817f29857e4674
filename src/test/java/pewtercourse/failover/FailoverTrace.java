package pewtercourse.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.hash.StableHash;

/**
 * Runs one random trace, given by a seed, through two members' controllers with their detectors, the planner, the
 * agreed state and two directors' overflow routers. Adds every output to a digest and counts each kind of output.
 */
final class FailoverTrace {
    private static final long TICK_MICROS = 250_000;
    private static final int TICKS = 1_600;
    private static final int TICKS_PER_REPORT = 4;
    private static final int REQUESTS_PER_TICK = 6;
    private static final String OBSERVER = "observer";

    /** The true condition of a site; the members' observations of it are noisy. */
    private enum Condition {
        HEALTHY,
        CACHES_FAILING,
        UNLISTED,
        SLOW,
        NO_PARENTS,
        PARTLY_FAILING,
        DIRECTORS_SILENT,
        CACHES_FAILING_DIRECTORS_SILENT,
        REJECTING,
        SOME_FAILURES
    }

    private record PendingPlan(long deliveredAt, FailoverController controller, FailoverPlan plan) {}

    private final Random random;
    private final TraceDigest digest = new TraceDigest();
    private final Map<String, Integer> outcomes;
    private final Map<String, Condition> conditions = new TreeMap<>();
    private final Set<String> absentMembers = new TreeSet<>();
    private final FailoverState agreed = new FailoverState();
    private final List<FailoverController> controllers = new ArrayList<>();
    private final List<OverflowRouter> routers = new ArrayList<>();
    private final List<PendingPlan> pendingPlans = new ArrayList<>();
    private Sites sites;
    private int leaseHolder;
    private long now = 10_000_000;
    private long logIndex;
    private long followedVersion = -1;

    /** @param outcomes the count of each kind of output, to which this trace adds its own */
    FailoverTrace(long seed, Map<String, Integer> outcomes) {
        this.random = new Random(seed);
        this.outcomes = outcomes;
        this.sites = TraceSites.draw(random, 3 + random.nextInt(4));
        for (int i = 0; i < 2; i++) {
            controllers.add(new FailoverController(sites));
            routers.add(new OverflowRouter(sites, "s" + i, 500_000, seed + i));
        }
        sites.byName().keySet().forEach(name -> conditions.put(name, Condition.HEALTHY));
    }

    /** Runs the trace and returns the digest of its outputs. */
    String digest() {
        for (int tick = 0; tick < TICKS; tick++) {
            now += TICK_MICROS;
            changeConditions();
            changeSites();
            applyOperatorCommand();
            if (tick % TICKS_PER_REPORT == 0) {
                reportObservations();
                addAssessments();
            }
            runController();
            followAgreedState();
            routeRequests();
        }
        return digest.hex();
    }

    private void count(String outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    private boolean chance(int oneIn) {
        return random.nextInt(oneIn) == 0;
    }

    private void changeConditions() {
        for (String name : conditions.keySet()) {
            if (chance(60)) {
                Condition[] values = Condition.values();
                conditions.put(name, chance(2) ? Condition.HEALTHY : values[random.nextInt(values.length)]);
            }
        }
        for (Site site : sites.byName().values()) {
            for (String director : site.directors()) {
                boolean directorsSilent = hasSilentDirectors(site);
                if (chance(directorsSilent ? 6 : 12)) {
                    boolean changed = directorsSilent || chance(30)
                            ? absentMembers.add(director)
                            : absentMembers.remove(director);
                    digest.add(changed);
                }
            }
        }
        if (chance(200)) {
            leaseHolder = 1 - leaseHolder;
        }
    }

    private boolean hasSilentDirectors(Site site) {
        Condition condition = conditions.get(site.name());
        return condition == Condition.DIRECTORS_SILENT || condition == Condition.CACHES_FAILING_DIRECTORS_SILENT;
    }

    private void changeSites() {
        if (!chance(250)) {
            return;
        }
        sites = TraceSites.redraw(random, sites);
        sites.byName().keySet().forEach(name -> conditions.putIfAbsent(name, Condition.HEALTHY));
        controllers.replaceAll(controller -> controller.withSites(sites));
        for (int i = 0; i < routers.size(); i++) {
            routers.set(i, new OverflowRouter(sites, "s" + i, 400_000, random.nextLong()));
        }
        pendingPlans.clear();
        followedVersion = -1;
        count("sites changed");
    }

    private void applyOperatorCommand() {
        if (!chance(50)) {
            return;
        }
        String site = randomSite();
        long expectedIndex = agreed.status(site).lastChangeIndex() - (chance(5) ? 1 : 0);
        boolean accepted = switch (random.nextInt(4)) {
            case 0 -> agreed.startDrill(++logIndex, site, expectedIndex);
            case 1 -> agreed.setHeld(++logIndex, site, true, expectedIndex);
            default -> agreed.setHeld(++logIndex, site, false, expectedIndex);
        };
        digest.add("operator").add(site).add(accepted);
        count(accepted ? "operator accepted" : "operator stale");
    }

    private String randomSite() {
        List<String> names = List.copyOf(sites.byName().keySet());
        return names.get(random.nextInt(names.size()));
    }

    private Set<String> members() {
        Set<String> members = new TreeSet<>(Set.of(OBSERVER));
        sites.byName().values().forEach(site -> members.addAll(site.directors()));
        return members;
    }

    private void reportObservations() {
        for (String member : members()) {
            Site home = sites.byName().values().stream()
                    .filter(site -> site.directors().contains(member))
                    .findFirst()
                    .orElse(null);
            if (absentMembers.contains(member) || home != null && hasSilentDirectors(home) || chance(25)) {
                continue;
            }
            SortedMap<String, SiteObservation> observations = new TreeMap<>();
            for (Site site : sites.byName().values()) {
                if (site == home || !chance(6)) {
                    observations.put(site.name(), observation(site, site == home));
                }
            }
            controllers.forEach(controller -> controller.detector().observe(now, member, observations));
        }
        if (chance(60)) {
            controllers.get(leaseHolder).detector().retainMembers(members());
        }
    }

    private SiteObservation observation(Site site, boolean fromOwnDirector) {
        Condition condition = conditions.get(site.name());
        int attempts = fromOwnDirector ? 8 + random.nextInt(12) : random.nextInt(8);
        int readyCaches = 4;
        int readyParents = 2;
        int late = random.nextInt(1 + attempts / 8);
        int failed = 0;
        int rejected = 0;
        switch (condition) {
            case CACHES_FAILING, CACHES_FAILING_DIRECTORS_SILENT -> {
                failed = chance(4) ? 1 : attempts;
                attempts = failed;
                rejected = random.nextInt(14);
                late = 0;
            }
            case UNLISTED -> {
                readyCaches = 0;
                attempts = 0;
                late = 0;
            }
            case SLOW -> late = attempts * (55 + random.nextInt(45)) / 100;
            case NO_PARENTS -> readyParents = 0;
            case PARTLY_FAILING -> {
                readyCaches = 1 + random.nextInt(2);
                failed = attempts * (20 + random.nextInt(65)) / 100;
                late = 0;
            }
            case REJECTING -> rejected = attempts * random.nextInt(30) / 10;
            case SOME_FAILURES -> {
                failed = attempts * (3 + random.nextInt(32)) / 100;
                late = attempts * random.nextInt(60) / 100;
            }
            default -> {
                readyCaches -= random.nextInt(2);
                failed = chance(4) ? Math.min(attempts - late, 1 + random.nextInt(3)) : 0;
            }
        }
        int onTime = Math.max(0, attempts - late - failed);
        double load = fromOwnDirector
                ? site.capacity() * random.nextDouble() / site.directors().size()
                : 0;
        return new SiteObservation(
                new EndpointCount(4, readyCaches),
                new EndpointCount(2, readyParents),
                new AttemptCounts(onTime, late, failed, rejected),
                load);
    }

    private void addAssessments() {
        for (FailoverController controller : controllers) {
            SiteFailureDetector detector = controller.detector();
            detector.loads().forEach((site, load) -> digest.add(site).add(load));
            for (String site : sites.byName().keySet()) {
                AttemptCounts attempts = detector.ownAttempts(now, site);
                digest.add("judged")
                        .add(detector.health(site).ordinal())
                        .add(detector.healthAgeMicros(now, site))
                        .add(detector.lossConfirmed(now, site))
                        .add(attempts.onTime())
                        .add(attempts.late())
                        .add(attempts.failed())
                        .add(attempts.rejected());
                count("health " + detector.health(site).ordinal());
            }
        }
    }

    private void runController() {
        FailoverController controller = controllers.get(leaseHolder);
        controllers.get(1 - leaseHolder).trackChanges(now, agreed);
        for (SiteStatusChange change : controller.proposeChanges(now, agreed, absentMembers)) {
            addChange(change);
            if (!chance(12)) { // Otherwise the change is lost.
                apply(change);
            }
            if (chance(12)) { // The change arrives twice.
                apply(change);
            }
        }
        deliverDuePlans();
        controller.requestPlan(now, agreed).ifPresent(request -> computePlan(controller, request));
        controller.takeComputedPlan(agreed).ifPresent(plan -> {
            digest.add("planned");
            addPlan(plan);
            agreed.setPlan(plan);
        });
    }

    private void addChange(SiteStatusChange change) {
        SiteStatus before = agreed.status(change.site());
        digest.add("order")
                .add(change.site())
                .add(change.phase().ordinal())
                .add(change.health().ordinal())
                .add(change.step())
                .add(change.flaps())
                .add(change.expectedIndex());
        String drill = before.drill() ? " in a drill" : "";
        count("change " + before.phase().ordinal() + " to " + change.phase().ordinal() + drill);
        if (before.phase() == SiteStatus.Phase.RETURNING && change.phase() == SiteStatus.Phase.RETURNING) {
            count(change.step() > before.step() ? "step forward" : "step back" + drill);
        }
        if (change.flaps() > before.flaps()) {
            count("flap counted");
        } else if (change.flaps() < before.flaps()) {
            count("flaps reset");
        }
    }

    private void apply(SiteStatusChange change) {
        boolean accepted = agreed.changeStatus(++logIndex, change);
        digest.add(accepted);
        count(accepted ? "change accepted" : "change stale");
    }

    private void computePlan(FailoverController controller, FailoverPlanRequest request) {
        digest.add("question").add(String.join(" ", request.lost())).add(String.join(" ", request.ineligible()));
        request.loads().forEach((site, load) -> digest.add(site).add(load));
        FailoverPlanner planner = chance(5) ? new FailoverPlanner(1) : new FailoverPlanner();
        FailoverPlan plan = planner.plan(sites, request);
        addPlan(plan);
        countPlan(plan, outcomes);
        switch (random.nextInt(6)) {
            case 0 -> pendingPlans.add(new PendingPlan(now + 3_000_000, controller, plan)); // Arrives too late.
            case 1 -> pendingPlans.add(new PendingPlan(now + 1_000_000, controller, plan));
            case 2 -> count("plan never delivered");
            default -> controller.planComputed(now, plan);
        }
    }

    private void deliverDuePlans() {
        for (PendingPlan pending : List.copyOf(pendingPlans)) {
            if (now >= pending.deliveredAt()) {
                pending.controller().planComputed(now, pending.plan());
                pendingPlans.remove(pending);
                count("plan delivered late");
            }
        }
    }

    private void addPlan(FailoverPlan plan) {
        addPlan(plan, digest);
    }

    /** Adds the cases of a plan to a digest, in their order. */
    static void addPlan(FailoverPlan plan, TraceDigest digest) {
        plan.cases().forEach((key, distributions) -> {
            digest.add("case").add(key);
            distributions.forEach((site, distribution) -> addDistribution(site, distribution, digest));
        });
    }

    private static void addDistribution(String site, FailoverPlan.Distribution distribution, TraceDigest digest) {
        digest.add(site).add(distribution.rejected()).add(distribution.allocated());
        for (FailoverPlan.Allocation allocation : distribution.allocations()) {
            digest.add(allocation.site()).add(allocation.load()).add(allocation.max());
        }
    }

    /** Counts, for each lost site of a plan, the targets that take its load and whether load is rejected. */
    static void countPlan(FailoverPlan plan, Map<String, Integer> outcomes) {
        plan.cases()
                .values()
                .forEach(distributions -> distributions.values().forEach(distribution -> {
                    outcomes.merge(
                            "plan over "
                                    + Math.min(3, distribution.allocations().size()),
                            1,
                            Integer::sum);
                    if (distribution.rejected() > 0) {
                        outcomes.merge("plan rejects load", 1, Integer::sum);
                    }
                }));
    }

    private void followAgreedState() {
        if (agreed.version() == followedVersion) {
            return;
        }
        followedVersion = agreed.version();
        agreed.statuses().forEach((site, status) -> addStatus(site, status));
        Set<String> diverted = agreed.divertedSites();
        digest.add("away").add(String.join(" ", diverted));
        if (!diverted.isEmpty()) {
            String key = String.join("+", diverted);
            count(agreed.plan().cases().containsKey(key) ? "losses planned for" : "losses not planned for");
        }
        agreed.plan()
                .distributions(diverted)
                .forEach((site, distribution) -> addDistribution(site, distribution, digest));
        for (OverflowRouter router : routers) {
            router.follow(now, agreed, 1 + random.nextInt(2));
            digest.add(router.diverting());
            router.failoverTargets().forEach(digest::add);
        }
    }

    private void addStatus(String site, SiteStatus status) {
        digest.add("status")
                .add(site)
                .add(status.phase().ordinal())
                .add(status.health().ordinal())
                .add(status.step())
                .add(status.flaps())
                .add(status.held())
                .add(status.drill())
                .add(status.lastChangeIndex())
                .add(status.diverted());
        count("phase " + status.phase().ordinal());
        count("agreed health " + status.health().ordinal());
        count(status.held() ? "held" : "free");
    }

    private void routeRequests() {
        for (int i = 0; i < routers.size(); i++) {
            OverflowRouter router = routers.get(i);
            if (chance(20)) {
                router.setOwnCachesListed(!chance(3));
            }
            for (int request = 0; request < REQUESTS_PER_TICK; request++) {
                route(router, "s" + i, now + request * TICK_MICROS / REQUESTS_PER_TICK);
            }
        }
    }

    private void route(OverflowRouter router, String ownSite, long requestTime) {
        boolean unconditional = chance(15);
        boolean revalidation = chance(10);
        double serviceMicros = chance(20) ? 3_000_000 * random.nextDouble() : 20_000 + 300_000 * random.nextDouble();
        long expectedMicros = (long) serviceMicros / 2;
        long deadline = requestTime + (chance(12) ? expectedMicros / 2 : 2_000_000);
        long objectHash = StableHash.of("object " + random.nextInt(400));
        OverflowDecision decision = router.choose(
                requestTime,
                new OverflowRequest(
                        objectHash,
                        1 + random.nextInt(5),
                        serviceMicros,
                        600_000,
                        deadline,
                        expectedMicros,
                        unconditional,
                        revalidation));
        digest.add("choice").add(objectHash).add(decision.retryAfterMicros());
        String kind;
        if (decision.rejected()) {
            kind = "rejected";
            digest.add(false);
        } else {
            String site = decision.site().orElseThrow();
            kind = site.equals(ownSite) ? "own site" : "other site";
            digest.add(true).add(site);
        }
        String phase = " in phase " + agreed.status(ownSite).phase().ordinal();
        count(kind + (unconditional ? ", unconditional" : "") + phase);
    }
}
