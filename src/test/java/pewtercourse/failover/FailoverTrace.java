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
 * One random stream through the detector, two members' controllers, the planner, the agreed state and two directors'
 * overflow routers, by a fixed seed. Every output goes into a digest, and each kind of output is counted.
 */
final class FailoverTrace {
    private static final long TICK = 250_000;
    private static final int TICKS = 1_600;
    private static final int TICKS_PER_REPORT = 4;
    private static final int REQUESTS_PER_TICK = 6;
    private static final String OBSERVER = "observer";

    /** What truly happens at a site; members see it with noise. */
    private enum Condition {
        WELL,
        CACHES_DEAD,
        UNLISTED,
        SLOW,
        NO_PARENTS,
        PARTLY_DEAD,
        DIRECTORS_SILENT,
        ALL_DEAD,
        REJECTING,
        SOME_FAIL
    }

    private record PendingAnswer(long at, FailoverController controller, FailoverPlan plan) {}

    private final Random random;
    private final TraceDigest digest = new TraceDigest();
    private final Map<String, Integer> outcomes;
    private final Map<String, Condition> conditions = new TreeMap<>();
    private final Set<String> absent = new TreeSet<>();
    private final FailoverState agreed = new FailoverState();
    private final List<FailoverController> controllers = new ArrayList<>();
    private final List<OverflowRouter> routers = new ArrayList<>();
    private final List<PendingAnswer> pendingAnswers = new ArrayList<>();
    private Sites sites;
    private int holder;
    private long now = 10_000_000;
    private long logIndex;
    private long followedVersion = -1;

    /** @param outcomes how often each kind of output was seen; this stream adds its own */
    FailoverTrace(long seed, Map<String, Integer> outcomes) {
        this.random = new Random(seed);
        this.outcomes = outcomes;
        this.sites = TraceSites.draw(random, 3 + random.nextInt(4));
        for (int i = 0; i < 2; i++) {
            controllers.add(new FailoverController(sites));
            routers.add(new OverflowRouter(sites, "s" + i, 500_000, seed + i));
        }
        sites.byName().keySet().forEach(name -> conditions.put(name, Condition.WELL));
    }

    /** Plays the stream to its end. */
    String digest() {
        for (int tick = 0; tick < TICKS; tick++) {
            now += TICK;
            changeConditions();
            changeSettings();
            giveOperatorOrder();
            if (tick % TICKS_PER_REPORT == 0) {
                report();
                addJudgements();
            }
            control();
            followAgreed();
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
                Condition[] all = Condition.values();
                conditions.put(name, chance(2) ? Condition.WELL : all[random.nextInt(all.length)]);
            }
        }
        for (Site site : sites.byName().values()) {
            for (String director : site.directors()) {
                boolean silent = silent(site);
                if (chance(silent ? 6 : 12)) {
                    boolean changed = silent || chance(30) ? absent.add(director) : absent.remove(director);
                    digest.add(changed);
                }
            }
        }
        if (chance(200)) {
            holder = 1 - holder;
        }
    }

    private boolean silent(Site site) {
        Condition condition = conditions.get(site.name());
        return condition == Condition.DIRECTORS_SILENT || condition == Condition.ALL_DEAD;
    }

    private void changeSettings() {
        if (!chance(250)) {
            return;
        }
        sites = TraceSites.redraw(random, sites);
        sites.byName().keySet().forEach(name -> conditions.putIfAbsent(name, Condition.WELL));
        controllers.replaceAll(controller -> controller.withSites(sites));
        for (int i = 0; i < routers.size(); i++) {
            routers.set(i, new OverflowRouter(sites, "s" + i, 400_000, random.nextLong()));
        }
        pendingAnswers.clear();
        followedVersion = -1;
        count("settings changed");
    }

    private void giveOperatorOrder() {
        if (!chance(50)) {
            return;
        }
        String site = anySite();
        long after = agreed.status(site).lastChangeIndex() - (chance(5) ? 1 : 0);
        boolean accepted = switch (random.nextInt(4)) {
            case 0 -> agreed.startDrill(++logIndex, site, after);
            case 1 -> agreed.setHeld(++logIndex, site, true, after);
            default -> agreed.setHeld(++logIndex, site, false, after);
        };
        digest.add("operator").add(site).add(accepted);
        count(accepted ? "operator accepted" : "operator stale");
    }

    private String anySite() {
        List<String> names = List.copyOf(sites.byName().keySet());
        return names.get(random.nextInt(names.size()));
    }

    private Set<String> members() {
        Set<String> members = new TreeSet<>(Set.of(OBSERVER));
        sites.byName().values().forEach(site -> members.addAll(site.directors()));
        return members;
    }

    private void report() {
        for (String member : members()) {
            Site home = sites.byName().values().stream()
                    .filter(site -> site.directors().contains(member))
                    .findFirst()
                    .orElse(null);
            if (absent.contains(member) || home != null && silent(home) || chance(25)) {
                continue;
            }
            SortedMap<String, SiteObservation> seen = new TreeMap<>();
            for (Site site : sites.byName().values()) {
                if (site == home || !chance(6)) {
                    seen.put(site.name(), observation(site, site == home));
                }
            }
            controllers.forEach(controller -> controller.detector().observe(now, member, seen));
        }
        if (chance(60)) {
            controllers.get(holder).detector().retainMembers(members());
        }
    }

    private SiteObservation observation(Site site, boolean own) {
        Condition condition = conditions.get(site.name());
        int attempts = own ? 8 + random.nextInt(12) : random.nextInt(8);
        int ready = 4;
        int parentsReady = 2;
        int late = random.nextInt(1 + attempts / 8);
        int bad = 0;
        int refused = 0;
        switch (condition) {
            case CACHES_DEAD, ALL_DEAD -> {
                bad = chance(4) ? 1 : attempts;
                attempts = bad;
                refused = random.nextInt(14);
                late = 0;
            }
            case UNLISTED -> {
                ready = 0;
                attempts = 0;
                late = 0;
            }
            case SLOW -> late = attempts * (55 + random.nextInt(45)) / 100;
            case NO_PARENTS -> parentsReady = 0;
            case PARTLY_DEAD -> {
                ready = 1 + random.nextInt(2);
                bad = attempts * (20 + random.nextInt(65)) / 100;
                late = 0;
            }
            case REJECTING -> refused = attempts * random.nextInt(30) / 10;
            case SOME_FAIL -> {
                bad = attempts * (3 + random.nextInt(32)) / 100;
                late = attempts * random.nextInt(60) / 100;
            }
            default -> {
                ready -= random.nextInt(2);
                bad = chance(4) ? Math.min(attempts - late, 1 + random.nextInt(3)) : 0;
            }
        }
        int good = Math.max(0, attempts - late - bad);
        double load =
                own ? site.capacity() * random.nextDouble() / site.directors().size() : 0;
        return new SiteObservation(
                new EndpointCount(4, ready),
                new EndpointCount(2, parentsReady),
                new AttemptCounts(good, late, bad, refused),
                load);
    }

    private void addJudgements() {
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

    private void control() {
        FailoverController controller = controllers.get(holder);
        controllers.get(1 - holder).trackChanges(now, agreed);
        for (SiteStatusChange order : controller.proposeChanges(now, agreed, absent)) {
            addOrder(order);
            if (!chance(12)) { // Else it is lost on its way.
                apply(order);
            }
            if (chance(12)) { // Comes twice.
                apply(order);
            }
        }
        answerDue();
        controller.requestPlan(now, agreed).ifPresent(request -> answer(controller, request));
        controller.takeComputedPlan(agreed).ifPresent(plan -> {
            digest.add("planned");
            addPlan(plan);
            agreed.setPlan(plan);
        });
    }

    private void addOrder(SiteStatusChange order) {
        SiteStatus before = agreed.status(order.site());
        digest.add("order")
                .add(order.site())
                .add(order.phase().ordinal())
                .add(order.health().ordinal())
                .add(order.step())
                .add(order.flaps())
                .add(order.expectedIndex());
        String drill = before.drill() ? " in a drill" : "";
        count("order " + before.phase().ordinal() + " to " + order.phase().ordinal() + drill);
        if (before.phase() == SiteStatus.Phase.RETURNING && order.phase() == SiteStatus.Phase.RETURNING) {
            count(order.step() > before.step() ? "step on" : "step back" + drill);
        }
        if (order.flaps() > before.flaps()) {
            count("flap counted");
        } else if (order.flaps() < before.flaps()) {
            count("flaps forgotten");
        }
    }

    private void apply(SiteStatusChange order) {
        boolean accepted = agreed.changeStatus(++logIndex, order);
        digest.add(accepted);
        count(accepted ? "order accepted" : "order stale");
    }

    private void answer(FailoverController controller, FailoverPlanRequest request) {
        digest.add("question").add(String.join(" ", request.lost())).add(String.join(" ", request.ineligible()));
        request.loads().forEach((site, load) -> digest.add(site).add(load));
        FailoverPlanner planner = chance(5) ? new FailoverPlanner(1) : new FailoverPlanner();
        FailoverPlan plan = planner.plan(sites, request);
        addPlan(plan);
        countPlan(plan, outcomes);
        switch (random.nextInt(6)) {
            case 0 -> pendingAnswers.add(new PendingAnswer(now + 3_000_000, controller, plan)); // Too late.
            case 1 -> pendingAnswers.add(new PendingAnswer(now + 1_000_000, controller, plan));
            case 2 -> count("question unanswered");
            default -> controller.planComputed(now, plan);
        }
    }

    private void answerDue() {
        for (PendingAnswer pending : List.copyOf(pendingAnswers)) {
            if (now >= pending.at()) {
                pending.controller().planComputed(now, pending.plan());
                pendingAnswers.remove(pending);
                count("answer delayed");
            }
        }
    }

    private void addPlan(FailoverPlan plan) {
        addPlan(plan, digest);
    }

    /** Adds every case of a plan in its order. */
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

    /** Counts the sites that each lost one is spread over. */
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
                        outcomes.merge("plan refuses", 1, Integer::sum);
                    }
                }));
    }

    private void followAgreed() {
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
            for (int r = 0; r < REQUESTS_PER_TICK; r++) {
                route(router, "s" + i, now + r * TICK / REQUESTS_PER_TICK);
            }
        }
    }

    private void route(OverflowRouter router, String own, long at) {
        boolean must = chance(15);
        boolean renewal = chance(10);
        double work = chance(20) ? 3_000_000 * random.nextDouble() : 20_000 + 300_000 * random.nextDouble();
        long needs = (long) work / 2;
        long expires = at + (chance(12) ? needs / 2 : 2_000_000);
        long object = StableHash.of("object " + random.nextInt(400));
        OverflowDecision decision = router.choose(
                at, new OverflowRequest(object, 1 + random.nextInt(5), work, 600_000, expires, needs, must, renewal));
        digest.add("choice").add(object).add(decision.retryAfterMicros());
        String kind;
        if (decision.rejected()) {
            kind = "refused";
            digest.add(false);
        } else {
            String site = decision.site().orElseThrow();
            kind = site.equals(own) ? "own site" : "other site";
            digest.add(true).add(site);
        }
        String phase = " in phase " + agreed.status(own).phase().ordinal();
        count(kind + (must ? ", must" : "") + phase);
    }
}
