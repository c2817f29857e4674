package pewtercourse.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Drives one {@link RoutingEngine} with hand-written events on a virtual clock. A test sets the fields that hold the settings
 * before it calls {@link #start}. The default endpoints are four caches (ids 1 to 4) in the router's zone 0, two parents (11
 * and 12) and the origin (21).
 */
final class RouterFixture {
    /** Microseconds in a millisecond. */
    static final long MILLIS = 1000;
    /** Time on the virtual clock at which each test starts, in microseconds. */
    static final long START_TIME = 100_000 * MILLIS;

    Idempotency idempotency = Idempotency.SAFE;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    long freshnessLifetimeMicros;
    boolean segmented;
    boolean parallelAttempts = true;
    boolean gossipEnabled;
    boolean cacheBypassAllowed;
    boolean weightsAreCapacities = true;
    boolean pushedEndpointUpdates = true;
    CacheStatusDetail cacheStatusDetail = CacheStatusDetail.ALL;
    double fillLinkKbPerSecond;
    int routerCount = 2;
    /** Null for one zone that has all routers. */
    int[] routersPerZone;

    int routerIndex;
    RoutingEngine engine;
    /** Time on the virtual clock, in microseconds. */
    long now = START_TIME;

    long nextRequestId = 1;
    boolean clientRetry;
    LongFunction<String> idempotencyKeys = id -> "key" + id;

    /** Creates the router from the fields and gives it these endpoints as its list. */
    RouterFixture start(Endpoint... endpoints) {
        RequestClass requestClass = new RequestClass(
                idempotency,
                deduplicationScope,
                2000 * MILLIS,
                500 * MILLIS,
                1,
                3000 * MILLIS,
                false,
                freshnessLifetimeMicros,
                segmented,
                false);
        RouterSettings settings = new RouterSettings(
                new RouterTopology(
                        routerIndex,
                        routerCount,
                        0,
                        Arrays.stream(routersPerZone != null ? routersPerZone : new int[] {routerCount})
                                .boxed()
                                .toList()),
                List.of(requestClass),
                new Bandwidth(5000, fillLinkKbPerSecond),
                new RouterFeatures(true, cacheBypassAllowed, gossipEnabled, parallelAttempts, true),
                new RetryLimits(2000 * MILLIS, 8),
                new UpstreamFeatures(
                        pushedEndpointUpdates, weightsAreCapacities, SiblingFillPolicy.OWN_ZONE, cacheStatusDetail),
                new SlowStartSettings(
                        new SlowStart(0.2, 18_000 * MILLIS, 3), new SlowStart(0.06, 20_000 * MILLIS, 2), 1500 * MILLIS),
                6000 * MILLIS);
        engine = new RoutingEngine(settings, 7);
        handle(new EndpointsChanged(EndpointUpdateKind.CACHED, List.of(endpoints)));
        return this;
    }

    static Endpoint cache(long id) {
        return new Endpoint(id, 0, EndpointRole.CACHE, (int) id % 2, EndpointLifecycle.READY, 8, 0);
    }

    static Endpoint parent(long id) {
        return new Endpoint(id, 5, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 20, 0);
    }

    static final Endpoint ORIGIN = new Endpoint(21, 5, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 10, 0);

    static Endpoint[] allEndpoints() {
        return new Endpoint[] {cache(1), cache(2), cache(3), cache(4), parent(11), parent(12), ORIGIN};
    }

    /** Returns a copy of the endpoint with another lifecycle and start time. */
    static Endpoint withLifecycle(Endpoint endpoint, EndpointLifecycle lifecycle, long startedAt) {
        return new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.role(),
                endpoint.cell(),
                lifecycle,
                endpoint.weight(),
                startedAt);
    }

    /** Passes the events to the router in one batch, at the present time. */
    List<RouterAction> handle(RouterEvent... events) {
        return engine.handle(now, List.of(events));
    }

    /** Creates a request of 500 KB with a deadline of 3 s; the router does not get it yet. */
    RequestArrived newRequest(String object, int segment) {
        long id = nextRequestId++;
        return new RequestArrived(
                id, 0, object, segment, 3, 500, now + 3000 * MILLIS, clientRetry, idempotencyKeys.apply(id), false);
    }

    List<RouterAction> submitRequest(String object) {
        return handle(newRequest(object, 0));
    }

    /** Submits a request and returns the single attempt that the router sends for it. */
    SendAttempt routeRequest(String object) {
        return singleAttempt(submitRequest(object));
    }

    /** Returns the attempt among the actions; fails if there is none or more than one. */
    static SendAttempt singleAttempt(List<RouterAction> actions) {
        List<SendAttempt> attempts = actionsOfType(actions, SendAttempt.class);
        assertTrue(attempts.size() == 1, "expected exactly one attempt: " + actions);
        return attempts.get(0);
    }

    static <T> List<T> actionsOfType(List<RouterAction> actions, Class<T> type) {
        List<T> found = new ArrayList<>();
        for (RouterAction action : actions) {
            if (type.isInstance(action)) {
                found.add(type.cast(action));
            }
        }
        return found;
    }

    /** Ends an attempt with a latency of 20 ms; the clock does not move. The outcome OK also ends its request. */
    List<RouterAction> finishAttempt(
            SendAttempt attempt, int attemptNumber, AttemptOutcome outcome, CacheStatus cacheStatus) {
        return handle(new AttemptFinished(
                attempt.requestId(),
                attemptNumber,
                attempt.endpointId(),
                outcome,
                20 * MILLIS,
                outcome == AttemptOutcome.OK,
                cacheStatus));
    }

    /** Advances the clock by 20 ms and ends the request's first attempt with an answer. */
    List<RouterAction> answerOk(SendAttempt attempt, CacheStatus cacheStatus) {
        now += 20 * MILLIS;
        return finishAttempt(attempt, 0, AttemptOutcome.OK, cacheStatus);
    }

    /** Advances the clock and fires the sweep timer, in which the router looks for overdue attempts. */
    List<RouterAction> advanceAndSweep(long micros) {
        now += micros;
        return handle(new TimerFired("sweep"));
    }
}
