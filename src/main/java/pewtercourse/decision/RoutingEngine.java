package pewtercourse.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The router of one director. It dispatches the events and runs the periodic housekeeping. The work is done by
 * the classes that it combines, see {@link RoutingParts}; docs/design.md gives the reasons for their decisions.
 * Not thread-safe.
 */
public final class RoutingEngine implements Router {
    private static final String SWEEP_TIMER = "sweep";
    private static final String WATCH_TIMER = "watch";
    /** Delay before the endpoint list is requested again after a failed call. */
    private static final long WATCH_RETRY_DELAY_MICROS = 1_000_000;

    private final RoutingContext context;
    private final ActionBuffer actions = new ActionBuffer();
    private final Random random;
    private final RoutingParts parts;
    private final RequestDispatcher dispatcher;
    private final RouterEventVisitor handler = new EventHandler();
    private boolean started;

    /** Creates a router. The same settings, seed and events always result in the same actions. */
    public RoutingEngine(RouterSettings settings, long seed) {
        this(settings, seed, new IdempotencyKeyTable());
    }

    /** Creates a router that shares {@code keys} with the other routers of its director. */
    public RoutingEngine(RouterSettings settings, long seed, IdempotencyKeyTable keys) {
        random = new Random(seed);
        context = new RoutingContext(settings);
        parts = RoutingParts.create(context, actions, keys);
        dispatcher = new RequestDispatcher(context, actions, random, parts);
        parts.transferTimes().resize(settings.classes().size());
    }

    @Override
    public List<RouterAction> handle(long now, List<RouterEvent> events) {
        context.beginBatch(now);
        actions.begin();
        if (!started) {
            start();
        }
        for (RouterEvent event : events) {
            event.accept(handler);
        }
        return actions.actions();
    }

    @Override
    public RouterStatus status() {
        List<EndpointState> endpoints = new ArrayList<>(parts.endpoints().caches());
        endpoints.addAll(parts.endpoints().parents());
        return new RouterStatus(
                parts.endpoints().countEjected(),
                parts.slowStart().wasExhausted(),
                parts.slowStart().status(endpoints),
                dispatcher.givenUp());
    }

    private void start() {
        started = true;
        parts.gossip().start(random);
        if (!context.settings().upstream().pushedEndpointUpdates()) {
            actions.add(new WatchEndpoints());
        }
        startSweepTimer();
    }

    private void startSweepTimer() {
        actions.add(new StartTimer(SWEEP_TIMER, context.now() + Housekeeping.INTERVAL_MICROS));
    }

    private void sweep() {
        dispatcher.checkOverdue();
        parts.capacity().update();
        parts.timeouts().decay();
        parts.purges().expire();
        parts.slowStart().expire();
        parts.gossip().reportIfDue(actions);
        startSweepTimer();
    }

    private final class EventHandler implements RouterEventVisitor {
        @Override
        public void visit(SettingsChanged event) {
            // Learned state is kept.
            context.configure(event.settings());
            parts.transferTimes().resize(event.settings().classes().size());
        }

        @Override
        public void visit(EndpointsChanged event) {
            if (event.kind() != EndpointUpdateKind.FAILED) {
                parts.endpoints().update(event);
            } else if (!context.settings().upstream().pushedEndpointUpdates()) {
                actions.add(new StartTimer(WATCH_TIMER, context.now() + WATCH_RETRY_DELAY_MICROS));
            }
        }

        @Override
        public void visit(RequestArrived event) {
            RouterSettings settings = context.settings();
            RequestClass requestClass = settings.classes().get(event.requestClass());
            double clientRate = settings.bandwidth().clientKbPerSecond();
            double transferTime = parts.transferTimes().record(event, requestClass, clientRate);
            RequestState request = new RequestState(event, requestClass, transferTime, context.now());
            if (dispatcher.register(request)) {
                parts.counts().record(request).ifPresent(count -> parts.gossip().onAccess(request.objectHash, count));
                dispatcher.advance(request);
            }
        }

        @Override
        public void visit(AttemptFinished event) {
            dispatcher.onAttemptFinished(event);
        }

        @Override
        public void visit(QuotaChanged event) {
            parts.slowStart().setQuotaFactor(event.factor());
        }

        @Override
        public void visit(StreamStarted event) {
            dispatcher.onStreamStarted(event.requestId());
        }

        @Override
        public void visit(TimerFired event) {
            if (event.name().equals(SWEEP_TIMER)) {
                sweep();
            } else {
                actions.add(new WatchEndpoints());
            }
        }

        @Override
        public void visit(ContentPurged event) {
            parts.purges().record(event);
        }

        @Override
        public void visit(GossipReceived event) {
            parts.gossip().onMessage(event, actions);
        }

        @Override
        public void visit(ClientDisconnected event) {
            dispatcher.onClientDisconnected(event.requestId());
        }
    }
}
