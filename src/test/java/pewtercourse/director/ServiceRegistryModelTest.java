package pewtercourse.director;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.BeforeTry;
import pewtercourse.ExampleConfig;
import pewtercourse.Timers;
import pewtercourse.cache.ConnectionPool;
import pewtercourse.config.DirectorConfig;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointUpdateKind;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.discovery.FeedClock;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;

/** Mixes operators' calls with events of the control feed, in any order, and checks which endpoints may be used. */
class ServiceRegistryModelTest {
    private record Step(int kind, int endpoint) {}

    private static final Timers NO_TIMERS = new Timers() {
        @Override
        public long set(long delayMs, Runnable task) {
            return 0;
        }

        @Override
        public void cancel(long timer) {}
    };

    private long now = 1_000_000;
    private ServiceRegistry registry;
    private final Map<Long, Endpoint> routerEndpoints = new HashMap<>(); // As the router sees them.

    // One instance of the class runs all tries of a property.
    @BeforeTry
    void reset() throws Exception {
        routerEndpoints.clear();
        now = 1_000_000;
        DirectorConfig config = ExampleConfig.read();
        registry = new ServiceRegistry(
                config.site(),
                new ConnectionPool(null, NO_TIMERS, () -> now, 1, 1),
                new StartTimes(new FeedClock(), () -> now * 1000));
    }

    private static WatchedEndpoint endpoint(int i, EndpointLifecycle lifecycle, long startedMs) {
        return new WatchedEndpoint(
                i,
                "s-" + i,
                new InetSocketAddress("127.0.0.1", 9000 + i),
                "edge-1",
                "small-box",
                0,
                lifecycle,
                1,
                startedMs);
    }

    private void applyToRouter(EndpointsChanged change) {
        if (change == null) {
            return;
        }
        if (change.kind() == EndpointUpdateKind.SNAPSHOT) {
            routerEndpoints.clear();
        }
        change.endpoints().forEach(endpoint -> routerEndpoints.put(endpoint.id(), endpoint));
    }

    private boolean isUsable(int i) {
        Endpoint endpoint = routerEndpoints.get((long) i);
        return endpoint != null && endpoint.lifecycle() == EndpointLifecycle.READY;
    }

    @Property(tries = 500, seed = "7")
    void neverUsesADrainedEndpointAndWarmsUpAReinstatedOne(@ForAll("steps") List<Step> steps) {
        Map<Integer, WatchedEndpoint> listed = new HashMap<>();
        Set<Integer> drained = new HashSet<>();
        Map<Integer, Long> reinstatedAt = new HashMap<>();
        long eventNumber = 0;
        for (Step step : steps) {
            now += 1_000;
            int i = step.endpoint;
            switch (step.kind) {
                case 0, 1, 2 -> {
                    EndpointLifecycle lifecycle = EndpointLifecycle.values()[step.kind];
                    WatchedEndpoint endpoint =
                            endpoint(i, lifecycle, step.endpoint % 2 == 0 ? now : 0); // Some have no start time.
                    if (lifecycle == EndpointLifecycle.GONE) {
                        listed.remove(i);
                        reinstatedAt.remove(i);
                    } else {
                        listed.put(i, endpoint);
                    }
                    applyToRouter(
                            registry.apply(new WatchEvent.EndpointUpdate(++eventNumber, false, List.of(endpoint))));
                }
                case 3 -> {
                    reinstatedAt.keySet().retainAll(listed.keySet());
                    applyToRouter(registry.apply(
                            new WatchEvent.EndpointUpdate(++eventNumber, true, new ArrayList<>(listed.values()))));
                }
                case 4 -> {
                    assertEquals(listed.containsKey(i) || drained.contains(i), registry.knowsEndpoint("s-" + i));
                    if (listed.containsKey(i)) {
                        applyToRouter(registry.drainEndpoint("s-" + i, now));
                        drained.add(i);
                    }
                }
                default -> {
                    if (drained.remove(i)) {
                        reinstatedAt.put(
                                i,
                                listed.containsKey(i) && listed.get(i).startedMs() > 0
                                        ? listed.get(i).startedMs()
                                        : now);
                    }
                    applyToRouter(registry.reinstateEndpoint("s-" + i, now));
                }
            }
            for (int k = 0; k < 4; k++) {
                WatchedEndpoint endpoint = listed.get(k);
                boolean usable =
                        endpoint != null && endpoint.state() == EndpointLifecycle.READY && !drained.contains(k);
                assertEquals(usable, isUsable(k), "usable by the router: " + k);
                assertEquals(usable, registry.isReady(k), "usable by an attempt that waits for its connection: " + k);
                if (usable && reinstatedAt.containsKey(k) && endpoint.startedMs() == 0) {
                    assertTrue(
                            routerEndpoints.get((long) k).startedAt() >= reinstatedAt.get(k) * 1000,
                            "reinstated without slow start: " + k);
                }
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 3))
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }

    @Example
    void aReinstatedEndpointIsInSlowStartThoughItsDrainWasCalledWithTheClockSetBack() {
        applyToRouter(registry.apply(
                new WatchEvent.EndpointUpdate(1, true, List.of(endpoint(1, EndpointLifecycle.READY, now)))));
        now += 30_000;
        applyToRouter(registry.drainEndpoint("s-1", now - 3_600_000));
        applyToRouter(registry.reinstateEndpoint("s-1", now));
        assertEquals(now * 1000, routerEndpoints.get(1L).startedAt());
    }

    @Example
    void aReinstatedEndpointIsInSlowStartThoughTheClockWasSetBackBeforeItsReinstatement() {
        applyToRouter(registry.apply(
                new WatchEvent.EndpointUpdate(1, true, List.of(endpoint(1, EndpointLifecycle.READY, now)))));
        now += 30_000;
        applyToRouter(registry.drainEndpoint("s-1", now));
        applyToRouter(registry.reinstateEndpoint("s-1", now - 600_000));
        assertEquals(now * 1000, routerEndpoints.get(1L).startedAt());
    }

    @Example
    void oneReinstatementEndsARepeatedDrainAndKeepsTheListedStart() {
        applyToRouter(registry.apply(
                new WatchEvent.EndpointUpdate(1, true, List.of(endpoint(1, EndpointLifecycle.READY, 0)))));
        applyToRouter(registry.drainEndpoint("s-1", now));
        applyToRouter(registry.drainEndpoint("s-1", now + 5));
        assertFalse(isUsable(1));
        applyToRouter(registry.apply(
                new WatchEvent.EndpointUpdate(2, false, List.of(endpoint(1, EndpointLifecycle.GONE, 0)))));
        assertTrue(registry.knowsEndpoint("s-1"), "drained, though it is not listed");
        now += 2_000;
        long restartedAt = now * 1000;
        applyToRouter(registry.apply(
                new WatchEvent.EndpointUpdate(3, false, List.of(endpoint(1, EndpointLifecycle.READY, now)))));
        assertFalse(isUsable(1), "listed again, and still drained");
        applyToRouter(registry.reinstateEndpoint("s-1", now + 7_000));
        assertTrue(isUsable(1));
        assertEquals(restartedAt, routerEndpoints.get(1L).startedAt());
        applyToRouter(registry.reinstateEndpoint("s-1", now + 7_500));
        assertEquals(restartedAt, routerEndpoints.get(1L).startedAt(), "a second reinstatement changes nothing");
    }
}
