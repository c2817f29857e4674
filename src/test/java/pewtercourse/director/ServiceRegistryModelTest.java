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
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchedEndpoint;

/** Calls by hand among events of the feed, in any order, against who may be used. */
class ServiceRegistryModelTest {
    private record Step(int kind, int host) {}

    private static final Timers NO_TIMERS = new Timers() {
        @Override
        public long set(long delayMs, Runnable then) {
            return 0;
        }

        @Override
        public void cancel(long timer) {}
    };

    private long now = 1_000_000;
    private ServiceRegistry registry;
    private final Map<Long, Endpoint> module = new HashMap<>(); // What the module was last told.

    // The same object plays all tries of a property.
    @BeforeTry
    void begin() throws Exception {
        module.clear();
        now = 1_000_000;
        DirectorConfig c = ExampleConfig.read();
        registry = new ServiceRegistry(c.site(), new ConnectionPool(null, NO_TIMERS, () -> now, 1, 1));
    }

    private static WatchedEndpoint host(int i, EndpointLifecycle state, long started) {
        return new WatchedEndpoint(
                i, "s-" + i, new InetSocketAddress("127.0.0.1", 9000 + i), "edge-1", "small-box", 0, state, 1, started);
    }

    private void hear(EndpointsChanged l) {
        if (l == null) {
            return;
        }
        if (l.kind() == EndpointUpdateKind.SNAPSHOT) {
            module.clear();
        }
        l.endpoints().forEach(m -> module.put(m.id(), m));
    }

    private boolean used(int i) {
        Endpoint m = module.get((long) i);
        return m != null && m.lifecycle() == EndpointLifecycle.READY;
    }

    @Property(tries = 500, seed = "7")
    void whoIsOutIsNeverUsedAndWhoIsBackIsCold(@ForAll("steps") List<Step> steps) {
        Map<Integer, WatchedEndpoint> listed = new HashMap<>();
        Set<Integer> out = new HashSet<>();
        Map<Integer, Long> back = new HashMap<>();
        long number = 0;
        for (Step s : steps) {
            now += 1_000;
            int i = s.host;
            switch (s.kind) {
                case 0, 1, 2 -> {
                    EndpointLifecycle state = EndpointLifecycle.values()[s.kind];
                    WatchedEndpoint h = host(i, state, s.host % 2 == 0 ? now : 0); // Some tell no new start.
                    if (state == EndpointLifecycle.GONE) {
                        listed.remove(i);
                        back.remove(i);
                    } else {
                        listed.put(i, h);
                    }
                    hear(registry.apply(new WatchEvent.EndpointUpdate(++number, false, List.of(h))));
                }
                case 3 -> {
                    back.keySet().retainAll(listed.keySet());
                    hear(registry.apply(
                            new WatchEvent.EndpointUpdate(++number, true, new ArrayList<>(listed.values()))));
                }
                case 4 -> {
                    assertEquals(listed.containsKey(i) || out.contains(i), registry.knows("s-" + i));
                    if (listed.containsKey(i)) {
                        hear(registry.takeOut("s-" + i, now));
                        out.add(i);
                    }
                }
                default -> {
                    if (out.remove(i)) {
                        back.put(
                                i,
                                listed.containsKey(i) && listed.get(i).startedMs() > 0
                                        ? listed.get(i).startedMs()
                                        : now);
                    }
                    hear(registry.putBack("s-" + i, now));
                }
            }
            for (int k = 0; k < 4; k++) {
                WatchedEndpoint h = listed.get(k);
                boolean usable = h != null && h.state() == EndpointLifecycle.READY && !out.contains(k);
                assertEquals(usable, used(k), "told to the module: " + k);
                assertEquals(usable, registry.ready(k), "for what waits for a connection: " + k);
                if (usable && back.containsKey(k) && h.startedMs() == 0) {
                    assertTrue(
                            module.get((long) k).startedAt() >= back.get(k) * 1000, "back, and taken for warm: " + k);
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
    void twoCallsOutAndOneBackAndAStartThatTheFeedTells() {
        hear(registry.apply(new WatchEvent.EndpointUpdate(1, true, List.of(host(1, EndpointLifecycle.READY, 0)))));
        hear(registry.takeOut("s-1", now));
        hear(registry.takeOut("s-1", now + 5));
        assertFalse(used(1));
        hear(registry.apply(new WatchEvent.EndpointUpdate(2, false, List.of(host(1, EndpointLifecycle.GONE, 0)))));
        assertTrue(registry.knows("s-1"), "out, though it is not listed now");
        hear(registry.apply(
                new WatchEvent.EndpointUpdate(3, false, List.of(host(1, EndpointLifecycle.READY, now + 2_000)))));
        assertFalse(used(1), "listed anew, and still out");
        hear(registry.putBack("s-1", now + 9_000));
        assertTrue(used(1));
        assertEquals((now + 2_000) * 1000, module.get(1L).startedAt());
        hear(registry.putBack("s-1", now + 9_500));
        assertEquals((now + 2_000) * 1000, module.get(1L).startedAt(), "a second call back changes nothing");
    }
}
