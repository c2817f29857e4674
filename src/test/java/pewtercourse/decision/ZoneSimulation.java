package pewtercourse.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates all routers of a zone and its caches on a virtual clock. The routers are real; a modelled cache works on a few
 * requests at once, queues some more and rejects the rest. No router knows what the others send. Times are microseconds.
 */
final class ZoneSimulation {
    static final int CACHES = 8;

    /** Microseconds in a millisecond. */
    private static final long MILLIS = 1_000;
    /** Microseconds in a second. */
    private static final long SECONDS = 1_000_000;

    private static final int ZONES = 3;
    /** Requests that a cache works on at once. */
    private static final int SLOTS_PER_CACHE = 4;

    private static final int MAX_QUEUED_PER_CACHE = 8;
    private static final double CLIENT_KB_PER_SECOND = 5_000;
    /** Time that a warm cache takes for a request of the mean size without a fill. */
    private static final long MEAN_SERVICE_TIME = 300 * MILLIS;

    private static final long LATENCY_OBJECTIVE = 600 * MILLIS;
    private static final long DEADLINE = 5 * SECONDS;
    private static final long SWEEP_INTERVAL = 20 * MILLIS;
    private static final double INITIAL_SHARE = 0.3;
    private static final double OVERCOMMIT = 2;
    private static final double HIT_RATE = 0.75;
    private static final long SLOW_START_WINDOW = 12 * SECONDS;
    private static final long OVERLOAD_WINDOW = 1_500 * MILLIS;
    /** Time that a fill adds to a miss. */
    private static final long FILL_TIME = 60 * MILLIS;

    private static final long START_TIME = 100 * SECONDS;
    private static final long RESTART_TIME = START_TIME + 20 * SECONDS;
    private static final long END_TIME = START_TIME + 36 * SECONDS;

    /** Which caches restart at {@link #RESTART_TIME}. */
    enum Restart {
        NONE,
        ONE,
        ALL
    }

    /** A request as its client sees it. */
    private static final class ClientRequest {
        double sizeKb;
        int attempts;
        boolean served;
    }

    private record ScheduledEvent(long at, int router, RouterEvent event, int process) {
        ScheduledEvent(long at, int router, RouterEvent event) {
            this(at, router, event, 0);
        }
    }

    /** One attempt on its way to a cache or at work there. */
    private static final class Job {
        final int router;
        final int routerProcess;
        final SendAttempt send;
        final int attemptNumber;
        final long sentAt;
        final double sizeKb;
        /** Whether the router has heard of its end. */
        boolean ended;

        Job(int router, int routerProcess, SendAttempt send, int attemptNumber, long sentAt, double sizeKb) {
            this.router = router;
            this.routerProcess = routerProcess;
            this.send = send;
            this.attemptNumber = attemptNumber;
            this.sentAt = sentAt;
            this.sizeKb = sizeKb;
        }
    }

    private record Arrival(long at, boolean notified) {}

    /** A cache that works on {@link #SLOTS_PER_CACHE} requests at once, at a speed that grows during slow start. */
    private final class Cache {
        final Deque<Job> queue = new ArrayDeque<>();
        /** Times of the requests that came within the last {@link #OVERLOAD_WINDOW}. */
        final Deque<Arrival> recentArrivals = new ArrayDeque<>();

        final int index;
        /** Time of the last start; 0 if the cache has been warm from the beginning. */
        long restartedAt;

        int busySlots;

        Cache(int index) {
            this.index = index;
        }

        double capacityShare(long now) {
            return restartedAt == 0
                    ? 1
                    : Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - restartedAt) / SLOW_START_WINDOW);
        }

        void accept(long now, Job job) {
            recordArrival(now, isNotified(job.router, now));
            if (job.ended) {
                return; // Cancelled on the way.
            }
            if (busySlots < SLOTS_PER_CACHE) {
                startJob(now, job);
            } else if (queue.size() < MAX_QUEUED_PER_CACHE) {
                queue.add(job);
            } else {
                finishAttempt(now, job, AttemptOutcome.OVERLOADED, CacheStatus.UNKNOWN);
            }
        }

        void startJob(long now, Job job) {
            busySlots++;
            boolean hit = random.nextDouble() < HIT_RATE;
            long duration =
                    (long) (job.sizeKb / CLIENT_KB_PER_SECOND * SECONDS / capacityShare(now)) + (hit ? 0 : FILL_TIME);
            Runnable onJobDone = () -> {
                busySlots--;
                finishAttempt(now + duration, job, AttemptOutcome.OK, hit ? CacheStatus.HIT : CacheStatus.UNKNOWN);
                if (!queue.isEmpty()) {
                    startJob(now + duration, queue.poll());
                }
            };
            cacheTasks.add(new ScheduledTask(now + duration, onJobDone));
        }

        /**
         * Counts the requests of the present overload window against the slow start budget of all routers together, with
         * the margin for chance that the rule on cold caches allows. It is broken if over two thirds of them came from
         * routers that had been notified of the start.
         */
        void recordArrival(long now, boolean notified) {
            if (restartedAt == 0 || now > restartedAt + SLOW_START_WINDOW) {
                return;
            }
            recentArrivals.addLast(new Arrival(now, notified));
            while (recentArrivals.peekFirst().at() <= now - OVERLOAD_WINDOW) {
                recentArrivals.removeFirst();
            }
            double capacity = SLOTS_PER_CACHE * faults.relativeCapacity[index] * capacityShare(now);
            double budget = OVERCOMMIT * capacity * OVERLOAD_WINDOW / MEAN_SERVICE_TIME;
            double margin = faults.enabled && budget < 30 ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
            long fromNotified =
                    recentArrivals.stream().filter(Arrival::notified).count();
            if (3 * fromNotified > 2 * recentArrivals.size()) {
                maxExcessRequests = Math.max(maxExcessRequests, recentArrivals.size() - (budget + margin));
            }
        }
    }

    private record ScheduledTask(long at, Runnable task) {}

    private final Random random;
    private final RoutingEngine[] routers;
    private final List<RouterSettings> settingsOfRouters = new ArrayList<>();
    /** Relative load of each router. */
    private final double[] loadWeights;

    private final double load;
    private final Restart restart;
    private final PriorityQueue<ScheduledEvent> routerEvents =
            new PriorityQueue<>((first, second) -> Long.compare(first.at, second.at));
    private final PriorityQueue<ScheduledTask> cacheTasks =
            new PriorityQueue<>((first, second) -> Long.compare(first.at, second.at));
    private final List<Cache> caches = new ArrayList<>();
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private long lastRequestId;
    private double maxExcessRequests = Double.NEGATIVE_INFINITY;
    private final ZoneFaults faults;
    private final long seed;
    /** How many processes of each router have started. */
    private final int[] routerProcesses;
    /** Jobs that the routers have not heard the end of, by request and number of the attempt. */
    private final Map<String, Job> openJobs = new HashMap<>();

    /**
     * Sets up a zone that plays the same events for the same arguments.
     *
     * @param load work that clients ask for, as a multiple of what all caches can do when warm
     */
    ZoneSimulation(int routerCount, double load, Restart restart, long seed) {
        this(routerCount, load, restart, seed, ZoneFaults.none(routerCount, CACHES));
    }

    /** The same with faults. */
    ZoneSimulation(int routerCount, double load, Restart restart, long seed, ZoneFaults faults) {
        this.faults = faults;
        this.seed = seed;
        this.routerProcesses = new int[routerCount];
        this.random = new Random(seed);
        this.load = load;
        this.restart = restart;
        this.routers = new RoutingEngine[routerCount];
        this.loadWeights = new double[routerCount];
        List<Integer> routerIndexes = new ArrayList<>();
        for (int i = 0; i < routerCount * ZONES; i++) {
            routerIndexes.add(i);
        }
        // The indexes of a zone's routers are spread over those of the whole fleet.
        Collections.shuffle(routerIndexes, random);
        for (int i = 0; i < routerCount; i++) {
            settingsOfRouters.add(settings(routerIndexes.get(i), routerCount));
            routers[i] = new RoutingEngine(settingsOfRouters.get(i), seed * 1_000 + i);
            // Some routers get several times the mean load.
            loadWeights[i] = 0.3 + 3 * random.nextDouble() * random.nextDouble();
        }
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache(i));
        }
    }

    private RouterSettings settings(int routerIndex, int routersInZone) {
        int[] routersPerZone = new int[ZONES];
        Arrays.fill(routersPerZone, routersInZone);
        RequestClass requestClass = new RequestClass(
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                2 * SECONDS,
                LATENCY_OBJECTIVE,
                2,
                DEADLINE,
                false,
                0,
                false,
                false);
        double fillLinkKbPerSecond = CACHES * SLOTS_PER_CACHE * CLIENT_KB_PER_SECOND / 3;
        return new RouterSettings(
                new RouterTopology(
                        routerIndex,
                        routersInZone * ZONES,
                        0,
                        Arrays.stream(routersPerZone).boxed().toList()),
                List.of(requestClass),
                new Bandwidth(CLIENT_KB_PER_SECOND, fillLinkKbPerSecond),
                new RouterFeatures(true, false, false, false, true),
                new RetryLimits(500 * MILLIS, 6),
                new UpstreamFeatures(true, false, SiblingFillPolicy.OWN_ZONE, CacheStatusDetail.HITS),
                new SlowStartSettings(
                        new SlowStart(INITIAL_SHARE, SLOW_START_WINDOW, OVERCOMMIT),
                        new SlowStart(0.1, SLOW_START_WINDOW, OVERCOMMIT),
                        OVERLOAD_WINDOW),
                6 * SECONDS);
    }

    private Endpoint cacheEndpoint(int router, int cache, EndpointLifecycle lifecycle, boolean afterRestart) {
        boolean restarted = afterRestart && (restart == Restart.ALL || restart == Restart.ONE && cache == 0);
        long startedAt = RESTART_TIME + faults.clockOffset[router] + faults.ageError[router];
        return new Endpoint(cache + 1, 0, EndpointRole.CACHE, 0, lifecycle, 0, restarted ? startedAt : 0);
    }

    private EndpointsChanged endpointList(int router, boolean afterRestart) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) {
            endpoints.add(cacheEndpoint(router, i, EndpointLifecycle.READY, afterRestart));
        }
        endpoints.add(new Endpoint(100, 5, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 0, 0));
        endpoints.add(new Endpoint(101, 5, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 0, 0));
        return new EndpointsChanged(EndpointUpdateKind.SNAPSHOT, endpoints);
    }

    private boolean isNotified(int router, long now) {
        return now >= RESTART_TIME + faults.listDelay[router];
    }

    /** Runs the simulation from its start to {@link #END_TIME}. */
    ZoneSimulation play() {
        for (int router = 0; router < routers.length; router++) {
            routerEvents.add(new ScheduledEvent(START_TIME, router, endpointList(router, false)));
            routerEvents.add(
                    new ScheduledEvent(RESTART_TIME + faults.listDelay[router], router, endpointList(router, true)));
            routerEvents.add(new ScheduledEvent(
                    START_TIME + random.nextInt((int) SWEEP_INTERVAL), router, new TimerFired("sweep")));
            scheduleNextRequest(router, START_TIME);
        }
        scheduleFaults();
        boolean restarted = false;
        while (routerEvents.peek().at < END_TIME) {
            long now = cacheTasks.isEmpty()
                    ? routerEvents.peek().at
                    : Math.min(routerEvents.peek().at, cacheTasks.peek().at);
            if (!restarted && now >= RESTART_TIME) {
                restarted = true;
                restartCaches();
            }
            if (!cacheTasks.isEmpty() && cacheTasks.peek().at <= routerEvents.peek().at) {
                cacheTasks.poll().task.run();
            } else {
                handle(routerEvents.poll());
            }
        }
        return this;
    }

    private void scheduleFaults() {
        for (ZoneFaults.Flap flap : faults.flaps) {
            scheduleList(flap.router(), flap.cache(), flap.goneAt(), EndpointLifecycle.GONE);
            scheduleList(flap.router(), flap.cache(), flap.backAt(), EndpointLifecycle.READY);
        }
        for (ZoneFaults.RouterRestart change : faults.routerRestarts) {
            cacheTasks.add(new ScheduledTask(RESTART_TIME + change.endsAt(), () -> routers[change.router()] = null));
            long startsAt = RESTART_TIME + change.startsAt();
            cacheTasks.add(new ScheduledTask(startsAt, () -> startRouter(change.router(), startsAt)));
        }
        if (faults.enabled) {
            cacheTasks.add(new ScheduledTask(RESTART_TIME + faults.loadShiftAt, this::shiftLoad));
        }
    }

    private void scheduleList(int router, int cache, long after, EndpointLifecycle lifecycle) {
        Endpoint endpoint = cacheEndpoint(router, cache, lifecycle, true);
        routerEvents.add(new ScheduledEvent(
                RESTART_TIME + after, router, new EndpointsChanged(EndpointUpdateKind.DELTA, List.of(endpoint))));
    }

    private void startRouter(int router, long now) {
        routerProcesses[router]++;
        routers[router] = new RoutingEngine(settingsOfRouters.get(router), seed * 1_000 + router);
        routerEvents.add(new ScheduledEvent(now, router, endpointList(router, isNotified(router, now))));
    }

    private void shiftLoad() {
        double[] before = loadWeights.clone();
        for (int i = 0; i < before.length; i++) {
            loadWeights[i] = before[(i + faults.loadShift) % before.length];
        }
    }

    private void restartCaches() {
        for (int i = 0; i < CACHES; i++) {
            if (restart == Restart.ALL || restart == Restart.ONE && i == 0) {
                caches.get(i).restartedAt = RESTART_TIME;
            }
        }
    }

    private void handle(ScheduledEvent scheduled) {
        int router = scheduled.router;
        RouterEvent event = scheduled.event;
        if (event instanceof RequestArrived arrival) {
            scheduleNextRequest(router, scheduled.at);
            ClientRequest request = new ClientRequest();
            request.sizeKb = arrival.sizeKb();
            requests.put(arrival.requestId(), request);
            event = onClockOf(router, arrival);
        }
        if (routers[router] == null || isOfEndedProcess(scheduled)) {
            return;
        }
        long offset = faults.clockOffset[router];
        for (RouterAction action : routers[router].handle(scheduled.at + offset, List.of(event))) {
            if (action instanceof StartTimer timer) {
                routerEvents.add(new ScheduledEvent(
                        timer.dueAt() - offset, router, new TimerFired(timer.name()), routerProcesses[router]));
            } else if (action instanceof SendAttempt send) {
                sendAttempt(scheduled.at, router, send);
            } else if (action instanceof CancelAttempt cancel && faults.enabled) {
                Job job = openJobs.get(cancel.requestId() + "/" + cancel.attempt());
                if (job != null) {
                    finishAttempt(scheduled.at, job, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN);
                }
            }
        }
    }

    private boolean isOfEndedProcess(ScheduledEvent scheduled) {
        return scheduled.event instanceof TimerFired && scheduled.process != routerProcesses[scheduled.router];
    }

    private RequestArrived onClockOf(int router, RequestArrived arrival) {
        return new RequestArrived(
                arrival.requestId(),
                arrival.requestClass(),
                arrival.object(),
                arrival.segment(),
                arrival.purgeGroup(),
                arrival.sizeKb(),
                arrival.expiresAt() + faults.clockOffset[router],
                arrival.clientRetry(),
                arrival.idempotencyKey(),
                arrival.write());
    }

    private void sendAttempt(long now, int router, SendAttempt send) {
        ClientRequest request = requests.get(send.requestId());
        Job job = new Job(router, routerProcesses[router], send, request.attempts++, now, request.sizeKb);
        if (send.endpointId() > CACHES) {
            return;
        }
        int cache = (int) send.endpointId() - 1;
        if (!faults.enabled) {
            caches.get(cache).accept(now, job);
            return;
        }
        openJobs.put(send.requestId() + "/" + job.attemptNumber, job);
        if (faults.isRefused(cache, now - RESTART_TIME)) {
            cacheTasks.add(new ScheduledTask(
                    now + MILLIS,
                    () -> finishAttempt(now + MILLIS, job, AttemptOutcome.CONNECT_FAILED, CacheStatus.UNKNOWN)));
            return;
        }
        long arrival = RESTART_TIME + faults.arrivalOf(cache, now - RESTART_TIME);
        cacheTasks.add(new ScheduledTask(arrival, () -> caches.get(cache).accept(arrival, job)));
        long timeout = now + DEADLINE;
        cacheTasks.add(new ScheduledTask(
                timeout, () -> finishAttempt(timeout, job, AttemptOutcome.TIMEOUT, CacheStatus.UNKNOWN)));
    }

    /** Schedules the router's next request, a random exponentially distributed time after {@code previous}. */
    private void scheduleNextRequest(int router, long previous) {
        double requestsPerMicro = load
                * CACHES
                * SLOTS_PER_CACHE
                / MEAN_SERVICE_TIME
                * loadWeights[router]
                / Arrays.stream(loadWeights).sum();
        long at = previous + (long) (-Math.log(1 - random.nextDouble()) / requestsPerMicro) + 1;
        double meanKb = CLIENT_KB_PER_SECOND * MEAN_SERVICE_TIME / SECONDS;
        // Log-normal sizes: some are many times the mean.
        double sizeKb = meanKb * Math.exp(0.9 * random.nextGaussian() - 0.9 * 0.9 / 2);
        String object = "o" + (int) (400 * Math.pow(random.nextDouble(), 2));
        routerEvents.add(new ScheduledEvent(
                at,
                router,
                new RequestArrived(
                        ++lastRequestId,
                        0,
                        object,
                        0,
                        3,
                        Math.min(sizeKb, 8 * meanKb),
                        at + DEADLINE,
                        false,
                        null,
                        false)));
    }

    private void finishAttempt(long now, Job job, AttemptOutcome outcome, CacheStatus cacheStatus) {
        if (job.ended) {
            return;
        }
        job.ended = true;
        openJobs.remove(job.send.requestId() + "/" + job.attemptNumber);
        boolean served = outcome == AttemptOutcome.OK && now <= job.sentAt + DEADLINE;
        requests.get(job.send.requestId()).served |= served;
        if (job.routerProcess != routerProcesses[job.router]) {
            return;
        }
        routerEvents.add(new ScheduledEvent(
                now,
                job.router,
                new AttemptFinished(
                        job.send.requestId(),
                        job.attemptNumber,
                        job.send.endpointId(),
                        outcome,
                        now - job.sentAt,
                        served,
                        cacheStatus)));
    }

    /**
     * Returns by how many requests the worst overload window of a cache in slow start exceeded its budget and the margin
     * for chance; 0 or less if none did.
     */
    double maxExcessRequests() {
        return maxExcessRequests;
    }

    /**
     * Returns the share of requests that were served among those of one range of sizes, given as quantiles: (0.9, 1) is the
     * largest tenth.
     */
    double servedShare(double fromQuantile, double toQuantile) {
        List<ClientRequest> bySize = new ArrayList<>(requests.values());
        bySize.sort((first, second) -> Double.compare(first.sizeKb, second.sizeKb));
        List<ClientRequest> selected =
                bySize.subList((int) (fromQuantile * bySize.size()), (int) (toQuantile * bySize.size()));
        return selected.stream().filter(request -> request.served).count() / (double) selected.size();
    }
}
