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

    private record ScheduledEvent(long at, int router, RouterEvent event) {}

    private record Job(int router, SendAttempt send, int attemptNumber, long sentAt, double sizeKb) {}

    /** A cache that works on {@link #SLOTS_PER_CACHE} requests at once, at a speed that grows during slow start. */
    private final class Cache {
        final Deque<Job> queue = new ArrayDeque<>();
        /** Times of the requests that came within the last {@link #OVERLOAD_WINDOW}. */
        final Deque<Long> recentArrivals = new ArrayDeque<>();
        /** Time of the last start; 0 if the cache has been warm from the beginning. */
        long restartedAt;

        int busySlots;

        double capacityShare(long now) {
            return restartedAt == 0
                    ? 1
                    : Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - restartedAt) / SLOW_START_WINDOW);
        }

        void accept(long now, Job job) {
            recordArrival(now);
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
         * Counts the requests of the present overload window against the slow start budget of all routers together. Two
         * standard deviations and two requests above the budget are put down to chance.
         */
        void recordArrival(long now) {
            if (restartedAt == 0 || now > restartedAt + SLOW_START_WINDOW) {
                return;
            }
            recentArrivals.addLast(now);
            while (recentArrivals.peekFirst() <= now - OVERLOAD_WINDOW) {
                recentArrivals.removeFirst();
            }
            double budget = OVERCOMMIT * capacityShare(now) * SLOTS_PER_CACHE * OVERLOAD_WINDOW / MEAN_SERVICE_TIME;
            maxExcessRequests =
                    Math.max(maxExcessRequests, recentArrivals.size() - (budget + 2 * Math.sqrt(budget) + 2));
        }
    }

    private record ScheduledTask(long at, Runnable task) {}

    private final Random random;
    private final RoutingEngine[] routers;
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

    /**
     * Sets up a zone that plays the same events for the same arguments.
     *
     * @param load work that clients ask for, as a multiple of what all caches can do when warm
     */
    ZoneSimulation(int routerCount, double load, Restart restart, long seed) {
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
            routers[i] = new RoutingEngine(settings(routerIndexes.get(i), routerCount), seed * 1_000 + i);
            // Some routers get several times the mean load.
            loadWeights[i] = 0.3 + 3 * random.nextDouble() * random.nextDouble();
        }
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache());
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

    private EndpointsChanged endpointList(boolean afterRestart) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) {
            boolean restarted = afterRestart && (restart == Restart.ALL || restart == Restart.ONE && i == 0);
            endpoints.add(new Endpoint(
                    i + 1, 0, EndpointRole.CACHE, 0, EndpointLifecycle.READY, 0, restarted ? RESTART_TIME : 0));
        }
        endpoints.add(new Endpoint(100, 5, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 0, 0));
        endpoints.add(new Endpoint(101, 5, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 0, 0));
        return new EndpointsChanged(EndpointUpdateKind.SNAPSHOT, endpoints);
    }

    /** Runs the simulation from its start to {@link #END_TIME}. */
    ZoneSimulation play() {
        for (int router = 0; router < routers.length; router++) {
            routerEvents.add(new ScheduledEvent(START_TIME, router, endpointList(false)));
            routerEvents.add(new ScheduledEvent(RESTART_TIME, router, endpointList(true)));
            routerEvents.add(new ScheduledEvent(
                    START_TIME + random.nextInt((int) SWEEP_INTERVAL), router, new TimerFired("sweep")));
            scheduleNextRequest(router, START_TIME);
        }
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

    private void restartCaches() {
        for (int i = 0; i < CACHES; i++) {
            if (restart == Restart.ALL || restart == Restart.ONE && i == 0) {
                caches.get(i).restartedAt = RESTART_TIME;
            }
        }
    }

    private void handle(ScheduledEvent scheduled) {
        if (scheduled.event instanceof RequestArrived arrival) {
            ClientRequest request = new ClientRequest();
            request.sizeKb = arrival.sizeKb();
            requests.put(arrival.requestId(), request);
            scheduleNextRequest(scheduled.router, scheduled.at);
        }
        for (RouterAction action : routers[scheduled.router].handle(scheduled.at, List.of(scheduled.event))) {
            if (action instanceof StartTimer timer) {
                routerEvents.add(new ScheduledEvent(timer.dueAt(), scheduled.router, new TimerFired(timer.name())));
            } else if (action instanceof SendAttempt send) {
                ClientRequest request = requests.get(send.requestId());
                Job job = new Job(scheduled.router, send, request.attempts++, scheduled.at, request.sizeKb);
                if (send.endpointId() <= CACHES) {
                    caches.get((int) send.endpointId() - 1).accept(scheduled.at, job);
                }
            }
        }
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
                        ++lastRequestId, 0, object, 0, 3, Math.min(sizeKb, 8 * meanKb), at + DEADLINE, false, false)));
    }

    private void finishAttempt(long now, Job job, AttemptOutcome outcome, CacheStatus cacheStatus) {
        boolean served = outcome == AttemptOutcome.OK && now <= job.sentAt + DEADLINE;
        requests.get(job.send.requestId()).served |= served;
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
