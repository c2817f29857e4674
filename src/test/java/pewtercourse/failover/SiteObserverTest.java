package pewtercourse.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import pewtercourse.cache.AttemptResult;

class SiteObserverTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final Sites SITES = TestSites.ring(20, 20);
    private static final Map<String, Integer> CACHES = Map.of("s0", 4, "s1", 3);
    private static final Map<String, Integer> PARENTS = Map.of("hub", 2);

    private final SiteObserver observer = new SiteObserver("s0");

    private SiteObservation observe(long now, String site) {
        return observer.observe(now, SITES, CACHES, PARENTS).get(site);
    }

    @Test
    void countsAttemptsBySiteAndResult() {
        observer.recordAttempt(START, "s1", AttemptResult.SERVED, false);
        observer.recordAttempt(START, "s1", AttemptResult.SERVED, true);
        observer.recordAttempt(START, "s1", AttemptResult.FULL, false);
        observer.recordAttempt(START, "s1", AttemptResult.RESET, false);
        observer.recordAttempt(START, "s1", AttemptResult.ERROR, false);

        assertEquals(new AttemptCounts(1, 2, 1, 0), observe(START, "s1").attempts());
        assertEquals(AttemptCounts.NONE, observe(START, "s0").attempts());
    }

    @Test
    void dropsAttemptsOlderThanTheWindow() {
        observer.recordAttempt(START, "s1", AttemptResult.SERVED, false);

        assertEquals(1, observe(START + SECOND, "s1").attempts().completed());
        assertEquals(0, observe(START + 4 * SECOND, "s1").attempts().completed());
    }

    @Test
    void countsRejectionsAndLoadForTheOwnSite() {
        observer.recordRejection(START);
        observer.recordRequest(START, 500_000);

        SiteObservation own = observe(START, "s0");

        assertEquals(1, own.attempts().rejected());
        assertEquals(0.5, own.load());
        assertEquals(0, observe(START, "s1").load());
    }

    @Test
    void usesTheLargestRecentCountAsTheUsualOne() {
        observe(START, "s0");

        SiteObservation later = observer.observe(START + SECOND, SITES, Map.of("s0", 1), Map.of())
                .get("s0");

        assertEquals(new EndpointCount(4, 1), later.caches());
        assertEquals(new EndpointCount(2, 0), later.parents());
    }
}
