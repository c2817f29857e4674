package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A router with hand-fed events: four caches (1-4) in zone 0, two parents (11, 12), the origin (21). */
final class Bench {
    static final long MS = 1000;
    static final long START = 100_000 * MS;

    Idempotency effect = Idempotency.SAFE;
    DeduplicationScope group = DeduplicationScope.ALL;
    long goodFor;
    boolean inParts;
    boolean parallel = true;
    boolean mayTell;
    boolean mayPassBy;
    boolean weightsTold = true;
    boolean pushed = true;
    CacheStatusDetail notes = CacheStatusDetail.ALL;
    double linkKbPerS;
    int routers = 2;
    int[] seats;
    int me;
    RoutingEngine logic;
    long now = START;
    long nextId = 1;

    Bench start(Endpoint... members) {
        RequestClass c =
                new RequestClass(effect, group, 2000 * MS, 500 * MS, 1, 3000 * MS, false, goodFor, inParts, false);
        RouterSettings s = new RouterSettings(
                new RouterTopology(
                        me,
                        routers,
                        0,
                        Arrays.stream(seats != null ? seats : new int[] {routers})
                                .boxed()
                                .toList()),
                List.of(c),
                new Bandwidth(5000, linkKbPerS),
                new RouterFeatures(true, mayPassBy, mayTell, parallel, true),
                new RetryLimits(2000 * MS, 8),
                new UpstreamFeatures(pushed, weightsTold, SiblingFillPolicy.OWN_ZONE, notes),
                new SlowStartSettings(
                        new SlowStart(0.2, 18_000 * MS, 3), new SlowStart(0.06, 20_000 * MS, 2), 1500 * MS),
                6000 * MS);
        logic = new RoutingEngine(s, 7);
        feed(new EndpointsChanged(EndpointUpdateKind.CACHED, List.of(members)));
        return this;
    }

    static Endpoint cache(long id) {
        return new Endpoint(id, 0, EndpointRole.CACHE, (int) id % 2, EndpointLifecycle.READY, 8, 0);
    }

    static Endpoint parent(long id) {
        return new Endpoint(id, 5, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 20, 0);
    }

    static final Endpoint ORIGIN = new Endpoint(21, 5, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 10, 0);

    static Endpoint[] all() {
        return new Endpoint[] {cache(1), cache(2), cache(3), cache(4), parent(11), parent(12), ORIGIN};
    }

    static Endpoint as(Endpoint m, EndpointLifecycle state, long since) {
        return new Endpoint(m.id(), m.zone(), m.role(), m.cell(), state, m.weight(), since);
    }

    List<RouterAction> feed(RouterEvent... events) {
        return logic.handle(now, List.of(events));
    }

    RequestArrived request(String object, int part) {
        return new RequestArrived(nextId++, 0, object, part, 3, 500, now + 3000 * MS, false, false);
    }

    List<RouterAction> ask(String object) {
        return feed(request(object, 0));
    }

    /** Asks and returns the one attempt that is made. */
    SendAttempt sent(String object) {
        return send(ask(object));
    }

    static SendAttempt send(List<RouterAction> actions) {
        List<SendAttempt> sends = all(actions, SendAttempt.class);
        assertTrue(sends.size() == 1, "one attempt expected: " + actions);
        return sends.get(0);
    }

    static <T> List<T> all(List<RouterAction> actions, Class<T> kind) {
        List<T> found = new ArrayList<>();
        for (RouterAction a : actions) {
            if (kind.isInstance(a)) {
                found.add(kind.cast(a));
            }
        }
        return found;
    }

    List<RouterAction> end(SendAttempt s, int attempt, AttemptOutcome ending, CacheStatus note) {
        return feed(new AttemptFinished(
                s.requestId(), attempt, s.endpointId(), ending, 20 * MS, ending == AttemptOutcome.OK, note));
    }

    List<RouterAction> ok(SendAttempt s, CacheStatus note) {
        now += 20 * MS;
        return end(s, 0, AttemptOutcome.OK, note);
    }

    List<RouterAction> sweep(long forward) {
        now += forward;
        return feed(new TimerFired("sweep"));
    }
}
