package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import pewtercourse.cache.AttemptResult;

/**
 * Runs random traces with fixed seeds through the package. The digest of all outputs of each trace must equal the
 * digest recorded in {@code traces/failover.properties}: no status change, no bit of a number in a plan and no choice
 * of a site may differ from the recording.
 */
class FailoverTraceTest {
    private static final String RECORDED = "/traces/failover.properties";
    private static final int CONTROL_TRACES = 10;
    private static final int UNIT_TRACES = 3;

    private static final Map<String, String> DIGESTS = new TreeMap<>();
    private static final Map<String, Integer> OUTCOMES = new TreeMap<>();

    @BeforeAll
    static void runAllTraces() {
        for (int seed = 1; seed <= CONTROL_TRACES; seed++) {
            DIGESTS.put("control." + seed, new FailoverTrace(seed, OUTCOMES).digest());
        }
        for (int seed = 1; seed <= UNIT_TRACES; seed++) {
            DIGESTS.put("planner." + seed, plannerDigest(seed));
            DIGESTS.put("priorities." + seed, prioritiesDigest(seed));
            DIGESTS.put("shedder." + seed, shedderDigest(seed));
            DIGESTS.put("observations." + seed, observationsDigest(seed));
            DIGESTS.put("state." + seed, stateDigest(seed));
        }
    }

    @Test
    void everyTraceHasTheRecordedDigest() throws IOException {
        Properties recorded = new Properties();
        try (InputStream in = FailoverTraceTest.class.getResourceAsStream(RECORDED)) {
            recorded.load(in);
        }

        Map<String, String> expected = new TreeMap<>();
        recorded.forEach((name, digest) -> expected.put((String) name, (String) digest));

        StringBuilder actual = new StringBuilder("actual digests:\n");
        DIGESTS.forEach(
                (name, digest) -> actual.append(name).append('=').append(digest).append('\n'));
        assertEquals(expected, DIGESTS, actual::toString);
    }

    @Test
    void tracesReachEveryKindOfOutcome() {
        Stream<String> phases = Stream.of(0, 1, 2, 3).map(phase -> "phase " + phase);
        Stream<String> healths = Stream.of(SiteHealth.values())
                .flatMap(health -> Stream.of("health " + health.ordinal(), "agreed health " + health.ordinal()));
        Stream<String> changes = Stream.of(
                "change 0 to 1",
                "change 0 to 2",
                "change 0 to 0",
                "change 0 to 3 in a drill",
                "change 1 to 0",
                "change 1 to 1",
                "change 1 to 2",
                "change 2 to 3",
                "change 3 to 0",
                "change 3 to 2",
                "change 3 to 2 in a drill",
                "change 3 to 3",
                "change 3 to 3 in a drill",
                "step forward",
                "step back",
                "step back in a drill",
                "flap counted",
                "flaps reset",
                "change accepted",
                "change stale",
                "operator accepted",
                "operator stale",
                "held",
                "free",
                "sites changed");
        Stream<String> plans = Stream.of(
                "plan over 0",
                "plan over 1",
                "plan over 2",
                "plan over 3",
                "plan rejects load",
                "plan kept",
                "plan replaced",
                "losses planned for",
                "losses not planned for",
                "plan never delivered",
                "plan delivered late");
        Stream<String> choices = Stream.of(
                "own site in phase 0",
                "own site in phase 2",
                "own site in phase 3",
                "own site, unconditional in phase 2",
                "other site in phase 2",
                "other site in phase 3",
                "other site, unconditional in phase 2",
                "rejected in phase 2",
                "rejected in phase 3",
                "admitted",
                "not admitted",
                "admitted unconditionally",
                "state change accepted",
                "state change beyond the site limit");

        List<Executable> checks = Stream.of(phases, healths, changes, plans, choices)
                .flatMap(kinds -> kinds)
                .map(kind -> (Executable) () -> assertTrue(OUTCOMES.containsKey(kind), kind + " not in " + OUTCOMES))
                .toList();
        assertAll(checks);
    }

    private static void count(String outcome) {
        OUTCOMES.merge(outcome, 1, Integer::sum);
    }

    /** Returns the digest of plans for drifting loads, with the solver and with its fallback, for few and many sites. */
    private static String plannerDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        for (int problem = 0; problem < 25; problem++) {
            Sites sites = TraceSites.draw(random, problem == 0 ? 18 : 2 + random.nextInt(6));
            SortedMap<String, Double> loads = new TreeMap<>();
            sites.byName().forEach((name, site) -> loads.put(name, site.capacity() * 1.1 * random.nextDouble()));
            FailoverPlan plan = FailoverPlan.EMPTY;
            for (int round = 0; round < 4; round++) {
                FailoverPlanner planner = random.nextInt(4) == 0 ? new FailoverPlanner(1) : new FailoverPlanner();
                Set<String> lost = random.nextBoolean() ? Set.of() : randomSubset(sites, random, 6);
                FailoverPlanRequest request =
                        new FailoverPlanRequest(loads, lost, randomSubset(sites, random, 8), plan);
                FailoverPlan next = planner.plan(sites, request);
                FailoverTrace.addPlan(next, digest);
                FailoverTrace.countPlan(next, OUTCOMES);
                if (round > 0) {
                    count(next.equals(plan) ? "plan kept" : "plan replaced");
                }
                plan = next;
                double drift = round == 0 ? 0.01 : 0.3;
                loads.replaceAll((name, load) -> load * (1 + drift * (random.nextDouble() - 0.5)));
            }
        }
        return digest.hex();
    }

    private static Set<String> randomSubset(Sites sites, Random random, int oneIn) {
        Set<String> subset = new TreeSet<>();
        for (String name : sites.byName().keySet()) {
            if (random.nextInt(oneIn) == 0) {
                subset.add(name);
            }
        }
        return subset;
    }

    /** Returns the digest of ranks of requests after long and short gaps, with more objects than the ranking stores. */
    private static String prioritiesDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        RequestPriorities priorities = new RequestPriorities();
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(500) == 0 ? 40_000_000L * random.nextInt(10) : random.nextInt(20_000);
            double weight = 0.1 + 10 * random.nextDouble();
            double serviceMicros = 1_000 + 400_000 * random.nextDouble() * random.nextDouble();
            OverflowRequest request = new OverflowRequest(
                    random.nextInt(8_000), weight, serviceMicros, 0, 0, 0, false, random.nextInt(8) == 0);
            digest.add(priorities.rank(now, request));
        }
        return digest.hex();
    }

    /** Returns the digest of admissions under a changing limit and a clock that sometimes steps back. */
    private static String shedderDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        LoadShedder shedder = new LoadShedder(0);
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            if (i % 1_000 == 0) {
                shedder.setLimit(random.nextInt(6) == 0 ? 0 : 8 * random.nextDouble());
            }
            now += random.nextInt(50) == 0 ? -random.nextInt(100_000) : random.nextInt(100_000);
            double serviceMicros = 1_000 + random.nextInt(random.nextInt(30) == 0 ? 3_000_000 : 400_000);
            boolean unconditional = random.nextInt(10) == 0;
            boolean admitted = shedder.admit(now, random.nextDouble(), serviceMicros, unconditional);
            digest.add(admitted);
            count(unconditional ? "admitted unconditionally" : admitted ? "admitted" : "not admitted");
        }
        return digest.hex();
    }

    /** Returns the digest of a director's observations of its attempts and its endpoint list. */
    private static String observationsDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        Sites sites = TraceSites.draw(random, 4);
        SiteObserver observer = new SiteObserver("s0");
        AttemptResult[] results = AttemptResult.values();
        long now = 5_000_000;
        for (int i = 0; i < 4_000; i++) {
            now += random.nextInt(200) == 0 ? 100_000_000L * random.nextInt(8) : random.nextInt(100_000);
            switch (random.nextInt(4)) {
                case 0 -> observer.recordRequest(now, 300_000 * random.nextDouble());
                case 1 -> observer.recordRejection(now);
                default ->
                    observer.recordAttempt(
                            now,
                            "s" + random.nextInt(4),
                            results[random.nextInt(results.length)],
                            random.nextBoolean());
            }
            if (i % 10 == 0) {
                Map<String, Integer> caches = new TreeMap<>();
                randomSubset(sites, random, 2).forEach(name -> caches.put(name, random.nextInt(6)));
                Map<String, Integer> parents = random.nextInt(5) == 0 ? Map.of() : Map.of("hub", random.nextInt(4));
                observer.observe(now, sites, caches, parents).forEach((site, observation) -> {
                    AttemptCounts attempts = observation.attempts();
                    digest.add(site)
                            .add(observation.caches().usual())
                            .add(observation.caches().ready());
                    digest.add(observation.parents().usual())
                            .add(observation.parents().ready());
                    digest.add(attempts.onTime()).add(attempts.late()).add(attempts.failed());
                    digest.add(attempts.rejected()).add(attempts.completed()).add(observation.load());
                });
            }
        }
        return digest.hex();
    }

    /** Returns the digest of status changes for too many sites, with current and with outdated indexes. */
    private static String stateDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        FailoverState state = new FailoverState();
        state.restore("s0", new SiteStatus(SiteStatus.Phase.RETURNING, SiteHealth.ALL, 1, 2, true, true, 7));
        for (int i = 0; i < 2_000; i++) {
            String site = "s" + random.nextInt(Sites.MAX_SITES + 20);
            long expectedIndex = state.status(site).lastChangeIndex() - (random.nextInt(4) == 0 ? 1 : 0);
            boolean siteKnown = state.statuses().containsKey(site);
            boolean full = state.statuses().size() == Sites.MAX_SITES;
            SiteStatus.Phase phase = SiteStatus.Phase.values()[random.nextInt(4)];
            SiteHealth health = SiteHealth.values()[random.nextInt(SiteHealth.values().length)];
            boolean accepted = state.changeStatus(
                    100 + i,
                    new SiteStatusChange(site, phase, health, random.nextInt(3), random.nextInt(9), expectedIndex));
            digest.add(accepted).add(state.version()).add(state.divertedSites().size());
            if (accepted) {
                count("state change accepted");
            } else if (full && !siteKnown) {
                count("state change beyond the site limit");
            }
        }
        state.statuses()
                .forEach((site, status) ->
                        digest.add(site).add(status.lastChangeIndex()).add(status.diverted()));
        return digest.hex();
    }
}
