package pewtercourse.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Draws the settings and endpoints of one {@link RandomEventStream}. Times are microseconds. */
final class RandomStreamSettings {
    /** Microseconds in a millisecond. */
    private static final long MILLIS = 1000;

    private final Random random;
    /** How often each kind of setting has occurred. */
    private final Map<String, Integer> occurrences;

    private final boolean hasZones;
    private final boolean pushedEndpointUpdates;
    private final int routerIndex;
    private RequestClass[] classes = {};
    private RouterSettings settings;

    RandomStreamSettings(Random random, Map<String, Integer> occurrences) {
        this.random = random;
        this.occurrences = occurrences;
        this.hasZones = random.nextInt(3) > 0;
        this.pushedEndpointUpdates = random.nextBoolean();
        this.routerIndex = random.nextInt(3) == 0 ? 0 : random.nextInt(3);
        redraw();
    }

    /** Returns the settings that were drawn last. */
    RouterSettings current() {
        return settings;
    }

    /** Draws and returns other settings. Known classes keep their indexes, and one class is added. */
    RouterSettings redraw() {
        int knownClasses = classes.length;
        classes = Arrays.copyOf(classes, knownClasses == 0 ? (random.nextInt(4) == 0 ? 1 : 5) : knownClasses + 1);
        for (int i = knownClasses; i < classes.length; i++) {
            classes[i] = drawRequestClass(i);
        }
        int routerCount =
                routerIndex + 1 + (random.nextInt(4) == 0 ? 0 : random.nextInt(random.nextInt(6) == 0 ? 60 : 6));
        settings = new RouterSettings(
                new RouterTopology(
                        routerIndex,
                        routerCount,
                        hasZones ? 0 : -1,
                        Arrays.stream(
                                        hasZones
                                                ? new int[] {Math.max(1, routerCount - 1), routerCount / 2}
                                                : new int[] {})
                                .boxed()
                                .toList()),
                List.of(classes),
                new Bandwidth(
                        drawFlag("client bandwidth known") ? 2000 + random.nextInt(8000) : 0,
                        drawFlag("fill link bandwidth known") ? 10_000 + random.nextInt(90_000) : 0),
                new RouterFeatures(
                        drawFlag("coalescing"),
                        drawFlag("cache bypass"),
                        drawFlag("gossip enabled"),
                        drawFlag("parallel attempts"),
                        drawFlag("attempt cancellation")),
                new RetryLimits(random.nextInt(3) * 1000 * MILLIS, 1 + random.nextInt(8)),
                new UpstreamFeatures(
                        pushedEndpointUpdates,
                        drawFlag("weights are capacities"),
                        SiblingFillPolicy.values()[countValue("sibling fill policy", random.nextInt(3))],
                        CacheStatusDetail.values()[countValue("cache status detail", random.nextInt(3))]),
                new SlowStartSettings(
                        new SlowStart(
                                0.05 + 0.3 * random.nextDouble(),
                                random.nextInt(4) * 5000 * MILLIS,
                                1 + random.nextInt(3)),
                        new SlowStart(
                                0.05 + 0.3 * random.nextDouble(),
                                random.nextInt(4) * 5000 * MILLIS,
                                1 + random.nextInt(3)),
                        random.nextInt(5) == 0 ? 0 : 500 * MILLIS + random.nextInt(1500) * MILLIS),
                random.nextInt(6000) * MILLIS);
        countOccurrence("pushed endpoint updates " + pushedEndpointUpdates);
        countOccurrence("zones " + hasZones);
        countOccurrence("one router " + (routerCount == 1));
        countOccurrence("overload window " + (settings.slowStart().overloadWindow() > 0));
        return settings;
    }

    private RequestClass drawRequestClass(int index) {
        long latencyObjective = (100 + random.nextInt(700)) * MILLIS;
        return new RequestClass(
                Idempotency.values()[index % 3 == 2 ? random.nextInt(3) : index % 3 == 1 ? 1 + random.nextInt(2) : 0],
                DeduplicationScope.values()[random.nextInt(3)],
                (500 + random.nextInt(2500)) * MILLIS,
                latencyObjective,
                random.nextInt(3),
                latencyObjective * (2 + random.nextInt(5)),
                random.nextInt(3) == 0,
                random.nextBoolean() ? 0 : (1000 + random.nextInt(15_000)) * MILLIS,
                random.nextInt(4) == 0,
                random.nextInt(6) == 0);
    }

    /**
     * Draws caches in the router's own zone, one cache in another zone, parents and one or two origins. Some have no weight,
     * and some have started shortly before {@code now}.
     */
    List<Endpoint> drawEndpoints(long now) {
        List<Endpoint> endpoints = new ArrayList<>();
        int caches = 1 + random.nextInt(7);
        for (int i = 0; i < caches; i++) {
            endpoints.add(drawEndpoint(1 + i, hasZones ? 0 : -1, EndpointRole.CACHE, now));
        }
        endpoints.add(drawEndpoint(9, 1, EndpointRole.CACHE, now));
        int parents = random.nextInt(5) == 0 ? 0 : 1 + random.nextInt(3);
        for (int i = 0; i < parents; i++) {
            endpoints.add(drawEndpoint(11 + i, 5, EndpointRole.PARENT, now));
        }
        endpoints.add(drawEndpoint(21, 5, EndpointRole.ORIGIN, now));
        if (random.nextInt(4) == 0) {
            endpoints.add(drawEndpoint(22, 5, EndpointRole.ORIGIN, now));
        }
        return endpoints;
    }

    private Endpoint drawEndpoint(long id, int zone, EndpointRole role, long now) {
        double weight = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(20);
        long startedAt = random.nextInt(3) == 0 ? now - random.nextInt(15_000) * MILLIS : 0;
        return new Endpoint(id, zone, role, (int) id % 2, EndpointLifecycle.READY, weight, startedAt);
    }

    private boolean drawFlag(String label) {
        boolean enabled = random.nextBoolean();
        countOccurrence(label + " " + enabled);
        return enabled;
    }

    private int countValue(String label, int value) {
        countOccurrence(label + " " + value);
        return value;
    }

    private void countOccurrence(String label) {
        occurrences.merge(label, 1, Integer::sum);
    }
}
