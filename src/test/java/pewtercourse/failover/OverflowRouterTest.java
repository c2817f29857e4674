package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class OverflowRouterTest {
    private static final long SECOND = 1_000_000;
    private static final Sites SITES = FailoverPlannerTest.sites(20, 20, 20, 20);

    private static OverflowRouter overflowRouter(FailoverState failover, long seed) {
        OverflowRouter g = new OverflowRouter(SITES, "s0", 500_000, seed);
        g.listed(false); // No trials at home.
        g.follow(0, failover, 1);
        return g;
    }

    private static FailoverState failover(SiteStatus.Phase phase, int step, double load) {
        FailoverState failover = new FailoverState();
        failover.plan(new FailoverPlanner()
                .plan(
                        SITES,
                        Map.of("s0", load, "s1", 10.0, "s2", 10.0, "s3", 10.0),
                        Set.of(),
                        Set.of(),
                        FailoverPlan.NONE));
        failover.declare(1, "s0", phase, SiteHealth.CACHES, step, 0, 0);
        return failover;
    }

    private static OverflowRouter.Ask read(long object, double work) {
        return new OverflowRouter.Ask(object, 1, work, 600_000, Long.MAX_VALUE, 0, false, false);
    }

    @Test
    void eachObjectGoesToOneTakerByThePlanFromWhicheverDirector() {
        FailoverState failover = failover(SiteStatus.Phase.LOST, 0, 20);
        OverflowRouter a = overflowRouter(failover, 1), b = overflowRouter(failover, 2);
        Map<String, Integer> count = new TreeMap<>();
        for (int i = 0; i < 20_000; i++) {
            long object = OverflowRouter.hash("o" + i), now = i * SECOND; // Far from any bound.
            String to = a.choose(now, read(object, 1)).site();
            assertEquals(to, b.choose(now, read(object, 1)).site());
            count.merge(to, 1, Integer::sum);
        }
        // 8 each at the two nearest, 4 at the third.
        assertEquals(0.4, count.get("s1") / 20_000.0, 0.02);
        assertEquals(0.4, count.get("s3") / 20_000.0, 0.02);
        assertEquals(0.2, count.get("s2") / 20_000.0, 0.02);
    }

    @Test
    void aStepFurtherMovesNoObjectAwayAgain() {
        OverflowRouter first = overflowRouter(failover(SiteStatus.Phase.RETURNING, 0, 12), 1),
                second = overflowRouter(failover(SiteStatus.Phase.RETURNING, 1, 12), 1);
        int home = 0;
        for (int i = 0; i < 10_000; i++) {
            long object = OverflowRouter.hash("o" + i), now = i * SECOND;
            boolean before = first.choose(now, read(object, 1)).site().equals("s0");
            boolean after = second.choose(now, read(object, 1)).site().equals("s0");
            assertTrue(!before || after);
            home += before ? 1 : 0;
        }
        assertEquals(0.2, home / 10_000.0, 0.02);
    }

    @Test
    void nobodyIsAskedForMoreThanItLendsAndTheWorthlessIsRefusedFirst() {
        OverflowRouter g = overflowRouter(failover(SiteStatus.Phase.LOST, 0, 40), 1); // 24 are lent, 40 asked for.
        Random random = new Random(3);
        Map<String, Double> taken = new TreeMap<>();
        int[] asked = new int[2], served = new int[2];
        Set<Long> advice = new HashSet<>();
        long end = 60 * SECOND;
        for (long now = 0; now < end; now += 5_000) { // 200 a second of 200 ms: 40 transfers at once.
            int cls = random.nextInt(2);
            OverflowRouter.Choice c = g.choose(
                    now,
                    new OverflowRouter.Ask(
                            random.nextLong(),
                            cls == 0 ? 1 : 3,
                            200_000,
                            600_000,
                            now + 3 * SECOND,
                            200_000,
                            false,
                            false));
            asked[cls]++;
            if (c.site() == null) {
                advice.add(c.holdOff());
                assertTrue(c.holdOff() >= 150_000 && c.holdOff() <= 500_000);
            } else {
                served[cls]++;
                taken.merge(c.site(), 200_000.0, Double::sum);
            }
        }
        taken.forEach((site, work) ->
                assertTrue(work <= 8 * (end + SECOND) * 1.01, site + " got " + work / end + " at once"));
        assertTrue(served[1] > 0.9 * asked[1], "the worthier: " + served[1] + " of " + asked[1]);
        assertTrue(served[0] < 0.4 * asked[0], "the others: " + served[0] + " of " + asked[0]);
        assertTrue(advice.size() > 1_000, "clients don't come back in step");
    }

    @Test
    void ordersAlwaysPass() {
        OverflowRouter g = overflowRouter(failover(SiteStatus.Phase.LOST, 0, 40), 1);
        for (long now = 0; now < 20 * SECOND; now += 1_000) {
            g.choose(now, read(now, 300_000));
            OverflowRouter.Choice order =
                    g.choose(now, new OverflowRouter.Ask(now, 3, 30_000, 600_000, now + 1, 30_000, true, false));
            assertNotNull(order.site());
        }
    }

    @Test
    void whatCannotBeInTimeAndLargeOneOffsGoFirst() {
        OverflowRouter g = overflowRouter(failover(SiteStatus.Phase.LOST, 0, 12), 1);
        assertEquals(
                null,
                g.choose(0, new OverflowRouter.Ask(1, 2, 400_000, 600_000, 300_000, 400_000, false, false))
                        .site());
        RequestPriorities w = new RequestPriorities();
        for (int i = 0; i < 1_000; i++) {
            w.rank(i * 1_000, 1, 100_000, i % 50, false);
        }
        double small = w.rank(SECOND, 1, 100_000, 7, false),
                large = w.rank(SECOND, 1, 2_000_000, 99_999, false),
                oneOff = w.rank(SECOND, 1, 100_000, 99_998, false),
                renewal = w.rank(SECOND, 1, 100_000, 8, true);
        assertTrue(
                small < oneOff && oneOff <= renewal + 1e-9 && small < large && large > 0.9,
                small + " " + oneOff + " " + renewal + " " + large);
    }

    @Test
    void whileTheListHasItsCachesOneIsTriedAtHomeNowAndThen() {
        OverflowRouter g = overflowRouter(failover(SiteStatus.Phase.LOST, 0, 12), 1);
        g.listed(true);
        int home = 0;
        for (long now = SECOND; now < 11 * SECOND; now += 10_000) {
            home += "s0".equals(g.choose(now, read(now, 1_000)).site()) ? 1 : 0;
        }
        assertTrue(home >= 30 && home <= 34, home + " trials in ten seconds");
    }

    /** Over any span no more passes than the pace and one bucket, whatever the order, the sizes and the clock. */
    @Property(tries = 300)
    void theBucketBoundsWhatPasses(@ForAll long seed) {
        Random random = new Random(seed);
        double limit = 0.5 + 10 * random.nextDouble();
        LoadShedder s = new LoadShedder(0);
        s.limit(limit);
        double passed = 0, largest = 0;
        long now = 0, latest = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(20) == 0 ? -random.nextInt(100_000) : random.nextInt(100_000);
            latest = Math.max(latest, now);
            double work = 1_000 + random.nextInt(random.nextInt(50) == 0 ? 3_000_000 : 200_000);
            if (s.admit(now, random.nextDouble(), work, false)) {
                passed += work;
                largest = Math.max(largest, work);
            }
        }
        assertTrue(passed <= limit * (latest + SECOND) + largest + 1, passed + " of " + limit * (latest + SECOND));
    }

    @Test
    void thePartIsSharedByTheDirectorsThatAreThere() {
        FailoverState failover = failover(SiteStatus.Phase.LOST, 0, 40);
        double[] taken = new double[2];
        for (int n = 1; n <= 2; n++) {
            OverflowRouter g = overflowRouter(failover, 1);
            g.follow(0, failover, n);
            for (long now = 0; now < 60 * SECOND; now += 2_000) {
                taken[n - 1] += g.choose(now, read(now * 7919, 200_000)).site() != null ? 200_000 : 0;
            }
        }
        assertEquals(0.5, taken[1] / taken[0], 0.05);
        assertEquals(List.of("s1", "s2", "s3"), List.copyOf((Set<String>)
                overflowRouter(failover, 1).takers()));
    }
}
