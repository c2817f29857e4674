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
 * Random streams by fixed seeds through the whole package. The digest of all outputs of each stream is equal to the one
 * that is kept in {@code traces/failover.properties}: no order, no number of a plan to its last bit and no choice for a
 * request has changed since it was recorded.
 */
class FailoverTraceTest {
    private static final String RECORDED = "/traces/failover.properties";
    private static final int CONTROL_STREAMS = 10;
    private static final int UNIT_STREAMS = 3;

    private static final Map<String, String> DIGESTS = new TreeMap<>();
    private static final Map<String, Integer> OUTCOMES = new TreeMap<>();

    @BeforeAll
    static void playAllStreams() {
        for (int seed = 1; seed <= CONTROL_STREAMS; seed++) {
            DIGESTS.put("control." + seed, new FailoverTrace(seed, OUTCOMES).digest());
        }
        for (int seed = 1; seed <= UNIT_STREAMS; seed++) {
            DIGESTS.put("planner." + seed, plannerDigest(seed));
            DIGESTS.put("priorities." + seed, prioritiesDigest(seed));
            DIGESTS.put("shedder." + seed, shedderDigest(seed));
            DIGESTS.put("observations." + seed, observationsDigest(seed));
            DIGESTS.put("state." + seed, stateDigest(seed));
        }
    }

    @Test
    void everyStreamHasTheRecordedDigest() throws IOException {
        Properties recorded = new Properties();
        try (InputStream in = FailoverTraceTest.class.getResourceAsStream(RECORDED)) {
            recorded.load(in);
        }

        Map<String, String> expected = new TreeMap<>();
        recorded.forEach((name, digest) -> expected.put((String) name, (String) digest));

        StringBuilder actual = new StringBuilder("actual DIGESTS:\n");
        DIGESTS.forEach(
                (name, digest) -> actual.append(name).append('=').append(digest).append('\n'));
        assertEquals(expected, DIGESTS, actual::toString);
    }

    @Test
    void theStreamsReachEveryKindOfOutcome() {
        Stream<String> phases = Stream.of(0, 1, 2, 3).map(phase -> "phase " + phase);
        Stream<String> healths = Stream.of(SiteHealth.values())
                .flatMap(health -> Stream.of("health " + health.ordinal(), "agreed health " + health.ordinal()));
        Stream<String> orders = Stream.of(
                "order 0 to 1",
                "order 0 to 2",
                "order 0 to 0",
                "order 0 to 3 in a drill",
                "order 1 to 0",
                "order 1 to 1",
                "order 1 to 2",
                "order 2 to 3",
                "order 3 to 0",
                "order 3 to 2",
                "order 3 to 2 in a drill",
                "order 3 to 3",
                "order 3 to 3 in a drill",
                "step on",
                "step back",
                "step back in a drill",
                "flap counted",
                "flaps forgotten",
                "order accepted",
                "order stale",
                "operator accepted",
                "operator stale",
                "held",
                "free",
                "settings changed");
        Stream<String> plans = Stream.of(
                "plan over 0",
                "plan over 1",
                "plan over 2",
                "plan over 3",
                "plan refuses",
                "plan kept",
                "plan replaced",
                "losses planned for",
                "losses not planned for",
                "question unanswered",
                "answer delayed");
        Stream<String> choices = Stream.of(
                "own site in phase 0",
                "own site in phase 2",
                "own site in phase 3",
                "own site, must in phase 2",
                "other site in phase 2",
                "other site in phase 3",
                "other site, must in phase 2",
                "refused in phase 2",
                "refused in phase 3",
                "admitted",
                "not admitted",
                "admitted as it must",
                "declaration taken",
                "declaration of one site too many");

        List<Executable> checks = Stream.of(phases, healths, orders, plans, choices)
                .flatMap(kinds -> kinds)
                .map(kind -> (Executable) () -> assertTrue(OUTCOMES.containsKey(kind), kind + " not in " + OUTCOMES))
                .toList();
        assertAll(checks);
    }

    private static void count(String outcome) {
        OUTCOMES.merge(outcome, 1, Integer::sum);
    }

    /** Plans for drifting loads, with and without the solver, for few and for many sites. */
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
                Set<String> lost = random.nextBoolean() ? Set.of() : some(sites, random, 6);
                FailoverPlanRequest request = new FailoverPlanRequest(loads, lost, some(sites, random, 8), plan);
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

    private static Set<String> some(Sites sites, Random random, int oneIn) {
        Set<String> some = new TreeSet<>();
        for (String name : sites.byName().keySet()) {
            if (random.nextInt(oneIn) == 0) {
                some.add(name);
            }
        }
        return some;
    }

    /** Ranks of requests over long and short gaps, with more objects than are remembered. */
    private static String prioritiesDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        RequestPriorities priorities = new RequestPriorities();
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(500) == 0 ? 40_000_000L * random.nextInt(10) : random.nextInt(20_000);
            double weight = 0.1 + 10 * random.nextDouble();
            double service = 1_000 + 400_000 * random.nextDouble() * random.nextDouble();
            OverflowRequest request =
                    new OverflowRequest(random.nextInt(8_000), weight, service, 0, 0, 0, false, random.nextInt(8) == 0);
            digest.add(priorities.rank(now, request));
        }
        return digest.hex();
    }

    /** Admissions under a changing limit and a clock that steps back at times. */
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
            double work = 1_000 + random.nextInt(random.nextInt(30) == 0 ? 3_000_000 : 400_000);
            boolean must = random.nextInt(10) == 0;
            boolean admitted = shedder.admit(now, random.nextDouble(), work, must);
            digest.add(admitted);
            count(must ? "admitted as it must" : admitted ? "admitted" : "not admitted");
        }
        return digest.hex();
    }

    /** What a director reports of its attempts and its list. */
    private static String observationsDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        Sites sites = TraceSites.draw(random, 4);
        SiteObserver observer = new SiteObserver("s0");
        AttemptResult[] ends = AttemptResult.values();
        long now = 5_000_000;
        for (int i = 0; i < 4_000; i++) {
            now += random.nextInt(200) == 0 ? 100_000_000L * random.nextInt(8) : random.nextInt(100_000);
            switch (random.nextInt(4)) {
                case 0 -> observer.recordRequest(now, 300_000 * random.nextDouble());
                case 1 -> observer.recordRejection(now);
                default ->
                    observer.recordAttempt(
                            now, "s" + random.nextInt(4), ends[random.nextInt(ends.length)], random.nextBoolean());
            }
            if (i % 10 == 0) {
                Map<String, Integer> caches = new TreeMap<>();
                some(sites, random, 2).forEach(name -> caches.put(name, random.nextInt(6)));
                Map<String, Integer> parents = random.nextInt(5) == 0 ? Map.of() : Map.of("hub", random.nextInt(4));
                observer.observe(now, sites, caches, parents).forEach((site, seen) -> {
                    AttemptCounts attempts = seen.attempts();
                    digest.add(site)
                            .add(seen.caches().usual())
                            .add(seen.caches().ready());
                    digest.add(seen.parents().usual()).add(seen.parents().ready());
                    digest.add(attempts.onTime()).add(attempts.late()).add(attempts.failed());
                    digest.add(attempts.rejected()).add(attempts.completed()).add(seen.load());
                });
            }
        }
        return digest.hex();
    }

    /** Declarations for more sites than there may be, on current and on older entries. */
    private static String stateDigest(int seed) {
        Random random = new Random(seed);
        TraceDigest digest = new TraceDigest();
        FailoverState state = new FailoverState();
        state.restore("s0", new SiteStatus(SiteStatus.Phase.RETURNING, SiteHealth.ALL, 1, 2, true, true, 7));
        for (int i = 0; i < 2_000; i++) {
            String site = "s" + random.nextInt(Sites.MAX_SITES + 20);
            long after = state.status(site).lastChangeIndex() - (random.nextInt(4) == 0 ? 1 : 0);
            boolean known = state.statuses().containsKey(site);
            boolean full = state.statuses().size() == Sites.MAX_SITES;
            SiteStatus.Phase phase = SiteStatus.Phase.values()[random.nextInt(4)];
            SiteHealth health = SiteHealth.values()[random.nextInt(SiteHealth.values().length)];
            boolean accepted = state.changeStatus(
                    100 + i, new SiteStatusChange(site, phase, health, random.nextInt(3), random.nextInt(9), after));
            digest.add(accepted).add(state.version()).add(state.divertedSites().size());
            if (accepted) {
                count("declaration taken");
            } else if (full && !known) {
                count("declaration of one site too many");
            }
        }
        state.statuses()
                .forEach((site, status) ->
                        digest.add(site).add(status.lastChangeIndex()).add(status.diverted()));
        return digest.hex();
    }
}
