package pewtercourse.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The random settings and members of one {@link DecisionStream}. */
final class StreamSettings {
    private static final long MS = 1000;

    private final Random random;
    private final Map<String, Integer> occurrences;
    private final boolean zones;
    private final boolean pushed;
    private final int router;
    private RequestClass[] classes = {};
    private RouterSettings settings;

    StreamSettings(Random random, Map<String, Integer> occurrences) {
        this.random = random;
        this.occurrences = occurrences;
        this.zones = random.nextInt(3) > 0;
        this.pushed = random.nextBoolean();
        this.router = random.nextInt(3) == 0 ? 0 : random.nextInt(3);
        redraw();
    }

    /** Those in force now. */
    RouterSettings settings() {
        return settings;
    }

    /** Draws other settings: known classes keep their places, and one is new. */
    RouterSettings redraw() {
        int known = classes.length;
        classes = Arrays.copyOf(classes, known == 0 ? (random.nextInt(4) == 0 ? 1 : 5) : known + 1);
        for (int i = known; i < classes.length; i++) {
            classes[i] = requestClass(i);
        }
        int routers = router + 1 + (random.nextInt(4) == 0 ? 0 : random.nextInt(random.nextInt(6) == 0 ? 60 : 6));
        settings = new RouterSettings(
                new RouterTopology(
                        router,
                        routers,
                        zones ? 0 : -1,
                        Arrays.stream(zones ? new int[] {Math.max(1, routers - 1), routers / 2} : new int[] {})
                                .boxed()
                                .toList()),
                List.of(classes),
                new Bandwidth(
                        flag("client rate") ? 2000 + random.nextInt(8000) : 0,
                        flag("link rate") ? 10_000 + random.nextInt(90_000) : 0),
                new RouterFeatures(
                        flag("coalescing"), flag("bypass"), flag("gossip"), flag("parallel"), flag("cancel")),
                new RetryLimits(random.nextInt(3) * 1000 * MS, 1 + random.nextInt(8)),
                new UpstreamFeatures(
                        pushed,
                        flag("weights told"),
                        SiblingFillPolicy.values()[noted("siblings", random.nextInt(3))],
                        CacheStatusDetail.values()[noted("notes", random.nextInt(3))]),
                new SlowStartSettings(
                        new SlowStart(
                                0.05 + 0.3 * random.nextDouble(), random.nextInt(4) * 5000 * MS, 1 + random.nextInt(3)),
                        new SlowStart(
                                0.05 + 0.3 * random.nextDouble(), random.nextInt(4) * 5000 * MS, 1 + random.nextInt(3)),
                        random.nextInt(5) == 0 ? 0 : 500 * MS + random.nextInt(1500) * MS),
                random.nextInt(6000) * MS);
        count("pushed " + pushed);
        count("zones " + zones);
        count("one router " + (routers == 1));
        count("overload window " + (settings.slowStart().overloadWindow() > 0));
        return settings;
    }

    private RequestClass requestClass(int index) {
        long aim = (100 + random.nextInt(700)) * MS;
        return new RequestClass(
                Idempotency.values()[index % 3 == 2 ? random.nextInt(3) : index % 3 == 1 ? 1 + random.nextInt(2) : 0],
                DeduplicationScope.values()[random.nextInt(3)],
                (500 + random.nextInt(2500)) * MS,
                aim,
                random.nextInt(3),
                aim * (2 + random.nextInt(5)),
                random.nextInt(3) == 0,
                random.nextBoolean() ? 0 : (1000 + random.nextInt(15_000)) * MS,
                random.nextInt(4) == 0,
                random.nextInt(6) == 0);
    }

    /** Caches of the own zone and one other, parents and an origin; some without weight, some that have just started. */
    List<Endpoint> members(long now) {
        List<Endpoint> members = new ArrayList<>();
        int caches = 1 + random.nextInt(7);
        for (int i = 0; i < caches; i++) {
            members.add(member(1 + i, zones ? 0 : -1, EndpointRole.CACHE, now));
        }
        members.add(member(9, 1, EndpointRole.CACHE, now));
        int parents = random.nextInt(5) == 0 ? 0 : 1 + random.nextInt(3);
        for (int i = 0; i < parents; i++) {
            members.add(member(11 + i, 5, EndpointRole.PARENT, now));
        }
        members.add(member(21, 5, EndpointRole.ORIGIN, now));
        if (random.nextInt(4) == 0) {
            members.add(member(22, 5, EndpointRole.ORIGIN, now));
        }
        return members;
    }

    private Endpoint member(long id, int zone, EndpointRole role, long now) {
        double weight = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(20);
        long since = random.nextInt(3) == 0 ? now - random.nextInt(15_000) * MS : 0;
        return new Endpoint(id, zone, role, (int) id % 2, EndpointLifecycle.READY, weight, since);
    }

    private boolean flag(String name) {
        boolean on = random.nextBoolean();
        count(name + " " + on);
        return on;
    }

    private int noted(String name, int value) {
        count(name + " " + value);
        return value;
    }

    private void count(String what) {
        occurrences.merge(what, 1, Integer::sum);
    }
}
