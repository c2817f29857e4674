package pewtercourse.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import pewtercourse.cache.AttemptResult;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.AttemptOutcome;
import pewtercourse.decision.Bandwidth;
import pewtercourse.decision.CacheStatus;
import pewtercourse.decision.CacheStatusDetail;
import pewtercourse.decision.CancelAttempt;
import pewtercourse.decision.DeduplicationScope;
import pewtercourse.decision.Endpoint;
import pewtercourse.decision.EndpointLifecycle;
import pewtercourse.decision.EndpointRole;
import pewtercourse.decision.EndpointUpdateKind;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.decision.FailRequest;
import pewtercourse.decision.Idempotency;
import pewtercourse.decision.QuotaChanged;
import pewtercourse.decision.RejectRequest;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.RetryLimits;
import pewtercourse.decision.Router;
import pewtercourse.decision.RouterAction;
import pewtercourse.decision.RouterEvent;
import pewtercourse.decision.RouterFeatures;
import pewtercourse.decision.RouterSettings;
import pewtercourse.decision.RouterTopology;
import pewtercourse.decision.RoutingEngine;
import pewtercourse.decision.SendAttempt;
import pewtercourse.decision.SiblingFillPolicy;
import pewtercourse.decision.SlowStart;
import pewtercourse.decision.SlowStartSettings;
import pewtercourse.decision.StartTimer;
import pewtercourse.decision.TimerFired;
import pewtercourse.decision.UpstreamFeatures;
import pewtercourse.emulator.CacheModel;
import pewtercourse.emulator.UpstreamModel;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.FailoverPlanner;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.FailoverTiming;
import pewtercourse.failover.OverflowDecision;
import pewtercourse.failover.OverflowRequest;
import pewtercourse.failover.OverflowRouter;
import pewtercourse.failover.Site;
import pewtercourse.failover.SiteHealth;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteObserver;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.SiteStatusChange;
import pewtercourse.failover.Sites;
import pewtercourse.hash.StableHash;

/**
 * Simulates several sites on a virtual clock. The decision module and the failover classes are the real ones; caches, links
 * and open-loop clients are models. Two simulations with the same seed give the same result.
 */
final class SitesSim {
    /** How the load of a lost site is handled. The constants are written out as words in the results. */
    enum Strategy {
        /** No failover: each site serves only its own clients. */
        ALONE,
        /** The nearest failover target takes the whole load without a limit, and all load returns at once. */
        NEAREST,
        /** All failover targets share the load by weight without a limit, and all load returns at once. */
        PROPORTIONAL,
        /** The failover of the program. */
        PLANNED,
        /** The failover of the program with losses known at once: the upper bound for every strategy. */
        SEEING
    }

    /** What fails during a simulation. The constants are written out as words in the results. */
    enum Incident {
        ONE,
        TWO,
        WHOLE,
        FLAPS,
        SEEN_BY_HALF,
        CACHES_VANISH,
        SLOW,
        TAKER_TOO,
        COPIES_VOID,
        SCAN,
        OVERSIZED,
        LIST_SHRINKS
    }

    /** Faults of the program that tests inject to show that the checks detect them. */
    enum InjectedFault {
        NONE,
        RETURNS_AT_ONCE,
        NO_BOUND
    }

    // Times of the simulation are in microseconds.
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;
    private static final long LOST_AT = 20 * SECOND;
    private static final long RECOVERED_AT = 38 * SECOND;
    private static final long SIMULATION_END = 90 * SECOND;
    private static final int SITE_COUNT = 5;
    private static final int CACHES_PER_SITE = 4;
    private static final int OBJECT_COUNT = 3_000;
    private static final double CACHE_CAPACITY = 5;
    // The configured capacity of a site is the fraction that the site serves in time, fills included.
    private static final double IN_TIME_FRACTION = 0.85;
    // The fraction of its spare capacity that a site offers to lost sites.
    private static final double LENDABLE_FRACTION = 0.5;
    private static final CacheModel.Settings CACHE =
            new CacheModel.Settings(CACHE_CAPACITY, 2.5, 700, 0.23, 16 * SECOND, 2, 1_500 * MS);
    private static final UpstreamModel.Settings UPSTREAM = new UpstreamModel.Settings(8, 0.75, 45 * MS, 60 * MS, 4);
    private static final long COMMIT_LATENCY = 6 * MS;
    private static final long CONTROLLER_TICK = 20 * MS;
    private static final long CONTROLLER_TAKEOVER = 1_300 * MS;
    private static final RequestClass[] CLASSES = {
        new RequestClass(Idempotency.SAFE, DeduplicationScope.ALL, 0, 600 * MS, 2, 5 * SECOND, false, 0, false, false),
        new RequestClass(
                Idempotency.SAFE, DeduplicationScope.ALL, 0, 400 * MS, 2, 3 * SECOND, false, 8 * SECOND, false, false),
        new RequestClass(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 0, 3 * SECOND, false, 0, false, true)
    };
    private static final double[] CLASS_WORTH = {2, 1, 3};
    private static final double[] CUMULATIVE_CLASS_SHARE = {0.54, 0.97, 1.0};
    private static final double[] MEAN_WORK_MICROS = {300 * MS, 50 * MS, 30 * MS};
    private static final double KB_PER_WORK_MS = 1;

    private record Event(long dueAt, long order, Runnable action) {}

    /** A client's request and its result. */
    static final class ClientRequest {
        final int site;
        final int classIndex;
        final long arrivedAt;
        final long work;
        final long object;
        final long deadline;
        long id;
        int attemptCount;
        int effectCount; // How often a request with a side effect was executed.
        boolean answered;
        boolean served;
        long answeredAt;

        ClientRequest(int site, int classIndex, long arrivedAt, long work, long object) {
            this.site = site;
            this.classIndex = classIndex;
            this.arrivedAt = arrivedAt;
            this.work = work;
            this.object = object;
            this.deadline = arrivedAt + CLASSES[classIndex].deadline();
        }

        long latencyObjective() {
            return CLASSES[classIndex].latencyObjective() + (long) (CLASSES[classIndex].transferAllowance() * work);
        }

        boolean isServedInTime() {
            return served && answeredAt - arrivedAt <= latencyObjective();
        }
    }

    private final class Cache {
        final long id;
        final int site;
        final CacheModel model = new CacheModel(CACHE);
        int lifecycleEpoch; // Changes at each start and stop, so that transfers of an earlier epoch do not complete.

        Cache(long id, int site) {
            this.id = id;
            this.site = site;
        }
    }

    /** The router of a director for one site, and the director that executes its actions. */
    private final class SiteRouter {
        final Director director;
        final Router router;

        SiteRouter(Director director, Router router) {
            this.director = director;
            this.router = router;
        }

        void handleEvent(RouterEvent event) {
            if (director.isUp) {
                router.handle(now, List.of(event)).forEach(this::execute);
            }
        }

        private void execute(RouterAction action) {
            if (action instanceof StartTimer timer) {
                int epoch = director.lifecycleEpoch;
                schedule(timer.dueAt(), () -> {
                    if (director.lifecycleEpoch == epoch) {
                        handleEvent(new TimerFired(timer.name()));
                    }
                });
            } else if (action instanceof SendAttempt attempt) {
                director.send(this, attempt);
            } else if (action instanceof CancelAttempt cancel) {
                director.cancel(this, cancel);
            } else if (action instanceof RejectRequest rejection) {
                director.endRequest(rejection.requestId(), false);
                if (this == director.homeRouter) {
                    director.siteObservations.recordRejection(now);
                }
            } else if (action instanceof FailRequest failure) {
                director.endRequest(failure.requestId(), false);
            }
        }
    }

    private final class Director {
        final int site;
        final String name;
        final Map<Long, ClientRequest> openRequests = new HashMap<>();
        final Map<Long, long[]> runningAttempts =
                new HashMap<>(); // By request id: attempt number, attempt id, endpoint id.
        OverflowRouter overflowRouter;
        SiteObserver siteObservations;
        FailoverController failoverController;
        SiteRouter homeRouter;
        Map<Integer, SiteRouter> remoteRouters = new TreeMap<>();
        boolean isUp = true;
        int lifecycleEpoch;

        Director(int site) {
            this.site = site;
            this.name = "d" + site;
            start();
        }

        void start() {
            lifecycleEpoch++;
            isUp = true;
            openRequests.clear();
            runningAttempts.clear();
            remoteRouters.clear();
            overflowRouter = new OverflowRouter(sites, siteName(site), 500 * MS, random.nextLong());
            siteObservations = new SiteObserver(siteName(site));
            failoverController = new FailoverController(sites);
            homeRouter = new SiteRouter(this, new RoutingEngine(settings(site), random.nextLong()));
            homeRouter.handleEvent(endpointSnapshot());
            int epoch = lifecycleEpoch;
            schedule(now + random.nextInt((int) SECOND), () -> report(epoch));
        }

        private void report(int epoch) {
            if (!isUp || lifecycleEpoch != epoch) {
                return;
            }
            Map<String, Integer> ready = new TreeMap<>();
            listedCaches.forEach(c -> ready.merge(siteName(c.site), 1, Integer::sum));
            Map<String, SiteObservation> observations = siteObservations.observe(now, sites, ready, Map.of("hub", 2));
            scheduleAfterCommit(() -> directors.forEach(d -> {
                if (d.isUp) {
                    d.failoverController.detector().observe(now, name, observations);
                }
            }));
            schedule(now + SECOND, () -> report(epoch));
        }

        private EndpointsChanged endpointSnapshot() {
            List<Endpoint> list = new ArrayList<>();
            listedCaches.forEach(c -> list.add(new Endpoint(
                    c.id, c.site, EndpointRole.CACHE, 0, EndpointLifecycle.READY, 1, c.model.startedAt())));
            list.add(new Endpoint(900, SITE_COUNT, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 1, 0));
            list.add(new Endpoint(901, SITE_COUNT, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 1, 0));
            list.add(new Endpoint(999, SITE_COUNT, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 1, 0));
            return new EndpointsChanged(EndpointUpdateKind.SNAPSHOT, list);
        }

        void sendEndpointSnapshot() {
            homeRouter.handleEvent(endpointSnapshot());
            remoteRouters.values().forEach(d -> d.handleEvent(endpointSnapshot()));
            overflowRouter.setOwnCachesListed(listedCaches.stream().anyMatch(c -> c.site == site));
        }

        void arrive(ClientRequest request) {
            request.id = nextRequestId++;
            openRequests.put(request.id, request);
            int epoch = lifecycleEpoch;
            schedule(request.deadline - 40 * MS, () -> {
                if (lifecycleEpoch == epoch && openRequests.containsKey(request.id)) {
                    overdueCount++;
                    endRequest(request.id, false);
                }
            });
            siteObservations.recordRequest(now, request.work);
            boolean nonIdempotent = CLASSES[request.classIndex].idempotency() == Idempotency.NON_IDEMPOTENT;
            OverflowDecision decision = overflowRouter.choose(
                    now,
                    new OverflowRequest(
                            request.object,
                            CLASS_WORTH[request.classIndex],
                            request.work,
                            CLASSES[request.classIndex].latencyObjective(),
                            request.deadline,
                            request.work,
                            nonIdempotent,
                            false));
            if (decision.rejected()) {
                rejectedCount++;
                endRequest(request.id, false);
                return;
            }
            int targetSite = Integer.parseInt(decision.site().orElseThrow().substring(1));
            if (targetSite != site) {
                remoteCount++;
            }
            SiteRouter router = targetSite == site
                    ? homeRouter
                    : remoteRouters.computeIfAbsent(targetSite, remoteSite -> {
                        SiteRouter d = new SiteRouter(
                                this,
                                new RoutingEngine(
                                        settings(site).forRemoteZone(remoteSite, List.of(CLASSES)), random.nextLong()));
                        d.handleEvent(new QuotaChanged(0));
                        d.handleEvent(endpointSnapshot());
                        return d;
                    });
            router.handleEvent(new RequestArrived(
                    request.id,
                    request.classIndex,
                    Long.toHexString(request.object),
                    0,
                    0,
                    request.work / (double) MS * KB_PER_WORK_MS,
                    request.deadline - 100 * MS,
                    false,
                    null,
                    CLASSES[request.classIndex].uncacheable()));
        }

        void send(SiteRouter router, SendAttempt s) {
            ClientRequest request = openRequests.get(s.requestId());
            if (request == null) {
                return;
            }
            int number = request.attemptCount++;
            long startedAt = now;
            long attemptId = ++lastAttemptId;
            runningAttempts.put(s.requestId(), new long[] {number, attemptId, s.endpointId()});
            Cache c = cachesById.get(s.endpointId());
            boolean unreachable = cutLinks.contains(site * 100 + c.site);
            boolean fills = s.fillSourceId() != s.endpointId();
            CacheModel.Answer answer = unreachable
                    ? new CacheModel.Answer(CacheModel.Outcome.DOWN, 0, 0)
                    : c.model.handleRequest(
                            now,
                            request.object,
                            request.work,
                            fills,
                            router == homeRouter ? s.retentionRank() : Math.min(1, s.retentionRank()),
                            s.maxAge());
            boolean connectTimesOut =
                    unreachable || c.model.isUp() == false && sitesWithVanishedCaches.contains(c.site);
            int cacheEpoch = c.lifecycleEpoch;
            long slowdownFactor = slowSite == c.site ? 3 : 1;
            long attemptDeadline = s.timeout() > 0
                    ? Math.min(request.deadline - 40 * MS, now + s.timeout())
                    : request.deadline - 40 * MS;
            switch (answer.outcome()) {
                case DOWN ->
                    endAt(
                            router,
                            s,
                            number,
                            attemptId,
                            startedAt,
                            now + (connectTimesOut ? 400 * MS : MS),
                            connectTimesOut ? AttemptResult.CONNECT_TIMEOUT : AttemptResult.REFUSED,
                            CacheStatus.UNKNOWN);
                case FULL ->
                    endAt(router, s, number, attemptId, startedAt, now + MS, AttemptResult.FULL, CacheStatus.UNKNOWN);
                case MISS ->
                    endAt(router, s, number, attemptId, startedAt, now + MS, AttemptResult.MISS, CacheStatus.UNKNOWN);
                default -> {
                    if (CLASSES[request.classIndex].uncacheable()) {
                        request.effectCount++;
                    }
                    boolean fill = answer.outcome() == CacheModel.Outcome.FILL;
                    UpstreamModel.Fill upstreamFill = fill
                            ? upstreams[c.site].begin(request.object, CLASSES[request.classIndex].uncacheable())
                            : null;
                    long fillDuration = fill ? upstreamFill.durationMicros() + request.work / 3 : 0;
                    long completesAt = now
                            + slowdownFactor * (answer.durationMicros() + fillDuration)
                            + (c.site == site ? 0 : 8 * MS);
                    schedule(Math.min(completesAt, attemptDeadline), () -> {
                        if (c.lifecycleEpoch == cacheEpoch) {
                            c.model.endTransfer();
                        }
                        if (fill) {
                            upstreams[c.site].end(upstreamFill);
                        }
                    });
                    if (completesAt > attemptDeadline) {
                        endAt(
                                router,
                                s,
                                number,
                                attemptId,
                                startedAt,
                                attemptDeadline,
                                AttemptResult.TIMEOUT,
                                CacheStatus.UNKNOWN);
                    } else {
                        schedule(completesAt, () -> {
                            boolean died = c.lifecycleEpoch != cacheEpoch;
                            finishAttempt(
                                    router,
                                    s,
                                    number,
                                    attemptId,
                                    startedAt,
                                    died ? AttemptResult.RESET : AttemptResult.SERVED,
                                    died ? CacheStatus.UNKNOWN : fill ? CacheStatus.FILLED : CacheStatus.HIT);
                        });
                    }
                }
            }
        }

        private void endAt(
                SiteRouter router,
                SendAttempt s,
                int number,
                long attemptId,
                long startedAt,
                long endsAt,
                AttemptResult result,
                CacheStatus cacheStatus) {
            schedule(endsAt, () -> finishAttempt(router, s, number, attemptId, startedAt, result, cacheStatus));
        }

        private void finishAttempt(
                SiteRouter router,
                SendAttempt s,
                int number,
                long attemptId,
                long startedAt,
                AttemptResult result,
                CacheStatus cacheStatus) {
            long[] runningAttempt = runningAttempts.get(s.requestId());
            if (runningAttempt == null || runningAttempt[1] != attemptId) {
                return;
            }
            runningAttempts.remove(s.requestId());
            ClientRequest request = openRequests.get(s.requestId());
            boolean requestEnded = request == null;
            Cache c = cachesById.get(s.endpointId());
            if (request != null) {
                siteObservations.recordAttempt(
                        now, siteName(c.site), result, now - startedAt > request.latencyObjective());
                if (result == AttemptResult.SERVED) {
                    endRequest(s.requestId(), true);
                    requestEnded = true;
                }
            }
            AttemptOutcome outcome = switch (result) {
                case SERVED -> AttemptOutcome.OK;
                case MISS -> AttemptOutcome.MISS;
                case FULL -> AttemptOutcome.OVERLOADED;
                case REFUSED, CONNECT_TIMEOUT -> AttemptOutcome.CONNECT_FAILED;
                case RESET -> AttemptOutcome.RESET;
                case CANCELLED -> AttemptOutcome.CANCELLED;
                default -> AttemptOutcome.TIMEOUT;
            };
            router.handleEvent(new AttemptFinished(
                    s.requestId(), number, s.endpointId(), outcome, now - startedAt, requestEnded, cacheStatus));
        }

        void cancel(SiteRouter router, CancelAttempt c) {
            long[] runningAttempt = runningAttempts.get(c.requestId());
            if (runningAttempt != null && runningAttempt[0] == c.attempt()) {
                // The end of a cancelled attempt reaches the router as a later event, like any other end.
                ClientRequest request = openRequests.get(c.requestId());
                long attemptId = runningAttempt[1];
                schedule(now, () -> {
                    long[] current = runningAttempts.get(c.requestId());
                    if (current != null && current[1] == attemptId) {
                        runningAttempts.remove(c.requestId());
                        router.handleEvent(new AttemptFinished(
                                c.requestId(),
                                (int) current[0],
                                current[2],
                                AttemptOutcome.CANCELLED,
                                0,
                                request == null,
                                CacheStatus.UNKNOWN));
                    }
                });
            }
        }

        void endRequest(long id, boolean served) {
            ClientRequest request = openRequests.remove(id);
            if (request != null && !request.answered) {
                request.answered = true;
                request.served = served;
                request.answeredAt = now;
            } else if (request != null) {
                violation = "request " + id + " got two answers";
            }
        }
    }

    final Strategy strategy;
    final Incident incident;
    final Sites sites;
    final List<ClientRequest> clientRequests = new ArrayList<>();
    final Map<Long, Integer> phases = new TreeMap<>();
    private final InjectedFault injectedFault;
    private final Random random;
    private final RandomGenerator distributionRandom;
    private final LogNormalDistribution[] workDistributions = new LogNormalDistribution[2];
    private final ZipfDistribution popularity;
    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.dueAt() != b.dueAt() ? Long.compare(a.dueAt(), b.dueAt()) : Long.compare(a.order(), b.order()));
    private final List<Cache> caches = new ArrayList<>();
    private final Map<Long, Cache> cachesById = new HashMap<>();
    private final List<Cache> listedCaches = new ArrayList<>();
    private final List<Director> directors = new ArrayList<>();
    private final Set<Integer> sitesWithVanishedCaches = new HashSet<>();
    private final Set<Integer> cutLinks = new HashSet<>(); // Director's site * 100 + cache's site.
    private final UpstreamModel[] upstreams = new UpstreamModel[SITE_COUNT];
    private final double[] siteLoads = new double[SITE_COUNT];
    private FailoverState failover = new FailoverState();
    private int controllerSite;
    long now;
    long nextRequestId = 1;
    long lastLogIndex;
    long rejectedCount;
    long remoteCount; // Requests that were routed to another site.
    long overdueCount;
    long lossDeclaredAt = -1;
    long restoredAt = -1;
    long falseAlarmCount;
    private long nextEventOrder;
    private long lastAttemptId;
    private long controllerActiveFrom;
    private int slowSite = -1;
    String violation;

    SitesSim(long seed, Strategy strategy, Incident incident, InjectedFault injectedFault) {
        this.strategy = strategy;
        this.incident = incident;
        this.injectedFault = injectedFault;
        this.random = new Random(seed);
        this.distributionRandom = new Well19937c(seed);
        this.popularity = new ZipfDistribution(distributionRandom, OBJECT_COUNT, 0.9);
        for (int i = 0; i < 2; i++) {
            double sigma = 0.6;
            workDistributions[i] = new LogNormalDistribution(
                    distributionRandom, Math.log(MEAN_WORK_MICROS[i]) - sigma * sigma / 2, sigma);
        }
        TreeMap<String, Site> sitesByName = new TreeMap<>();
        for (int i = 0; i < SITE_COUNT; i++) {
            siteLoads[i] = (0.5 + 0.2 * random.nextDouble()) * CACHE_CAPACITY * CACHES_PER_SITE;
        }
        for (int i = 0; i < SITE_COUNT; i++) {
            List<Site.FailoverTarget> failoverTargets = new ArrayList<>();
            for (int offset = 1; offset < SITE_COUNT; offset++) {
                int distance = Math.min(offset, SITE_COUNT - offset);
                failoverTargets.add(new Site.FailoverTarget(siteName((i + offset) % SITE_COUNT), distance));
            }
            failoverTargets.sort((a, b) -> Double.compare(a.distance(), b.distance()));
            sitesByName.put(
                    siteName(i),
                    new Site(
                            siteName(i),
                            "hub",
                            Set.of("d" + i),
                            IN_TIME_FRACTION * CACHE_CAPACITY * CACHES_PER_SITE,
                            LENDABLE_FRACTION,
                            0.5,
                            0,
                            failoverTargets));
        }
        boolean returnsInSteps = strategy == Strategy.PLANNED || strategy == Strategy.SEEING;
        this.sites = new Sites(
                sitesByName,
                0.5,
                new FailoverTiming(
                        1_500 * MS,
                        2 * SECOND,
                        120 * SECOND,
                        1_500 * MS,
                        returnsInSteps && injectedFault != InjectedFault.RETURNS_AT_ONCE
                                ? List.of(0.15, 0.3, 0.5, 0.75, 1.0)
                                : List.of(1.0),
                        3 * SECOND));
        for (int s = 0; s < SITE_COUNT; s++) {
            upstreams[s] = new UpstreamModel(UPSTREAM); // The capacity of this site's link and hub.
            for (int c = 0; c < CACHES_PER_SITE; c++) {
                Cache cache = new Cache(1 + s * 10 + c, s);
                caches.add(cache);
                cachesById.put(cache.id, cache);
                listedCaches.add(cache);
            }
        }
        for (int s = 0; s < SITE_COUNT; s++) {
            directors.add(new Director(s));
        }
        controllerSite = incident == Incident.WHOLE ? 0 : random.nextInt(SITE_COUNT);
        for (int s = 0; s < SITE_COUNT; s++) {
            scheduleNextRequest(s);
        }
        schedule(CONTROLLER_TICK, this::runController);
        scheduleIncident();
    }

    private static String siteName(int i) {
        return "s" + i;
    }

    private static RouterSettings settings(int site) {
        int[] zoneWeights = new int[SITE_COUNT + 1];
        java.util.Arrays.fill(zoneWeights, 0, SITE_COUNT, 1);
        return new RouterSettings(
                new RouterTopology(
                        site,
                        SITE_COUNT,
                        site,
                        Arrays.stream(zoneWeights).boxed().toList()),
                List.of(CLASSES),
                new Bandwidth(KB_PER_WORK_MS * 1_000, 0),
                new RouterFeatures(true, false, false, false, true),
                new RetryLimits(500 * MS, 6),
                new UpstreamFeatures(true, false, SiblingFillPolicy.OWN_ZONE, CacheStatusDetail.HITS),
                new SlowStartSettings(
                        new SlowStart(0.23, 16 * SECOND, 2), new SlowStart(0.065, 21 * SECOND, 2), 1_500 * MS),
                6 * SECOND);
    }

    void schedule(long time, Runnable action) {
        queue.add(new Event(Math.max(now, time), nextEventOrder++, action));
    }

    private void scheduleAfterCommit(Runnable then) {
        schedule(now + COMMIT_LATENCY, then);
    }

    // ---- Clients: open loop; a request goes to the director of its site or, if that is dead, of the next site ----

    private void scheduleNextRequest(int site) {
        double loadFactor =
                1 + 0.15 * Math.sin(now / 1e6 / 90 * Math.PI); // The load peaks in the middle of the simulation.
        double meanWork = CUMULATIVE_CLASS_SHARE[0] * MEAN_WORK_MICROS[0]
                + (CUMULATIVE_CLASS_SHARE[1] - CUMULATIVE_CLASS_SHARE[0]) * MEAN_WORK_MICROS[1]
                + (1 - CUMULATIVE_CLASS_SHARE[1]) * MEAN_WORK_MICROS[2];
        double requestsPerSecond = siteLoads[site] / 1.12 * loadFactor / meanWork * 1e6;
        schedule(now + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6), () -> {
            double classDraw = random.nextDouble();
            int classIndex = classDraw < CUMULATIVE_CLASS_SHARE[0] ? 0 : classDraw < CUMULATIVE_CLASS_SHARE[1] ? 1 : 2;
            long work = classIndex == 2
                    ? (long) MEAN_WORK_MICROS[2]
                    : (long) Math.min(3e6, Math.max(5e3, workDistributions[classIndex].sample()));
            long object = StableHash.of(classIndex == 2 ? "o" + nextRequestId : classIndex + "/" + popularity.sample());
            boolean specialTraffic = now > LOST_AT && now < RECOVERED_AT + 10 * SECOND && classIndex == 0;
            if (incident == Incident.SCAN && specialTraffic && random.nextDouble() < 0.2) {
                object = random.nextLong(); // An object that is requested only once.
            } else if (incident == Incident.OVERSIZED && specialTraffic && random.nextDouble() < 0.02) {
                work = 12 * work;
                object = StableHash.of("large" + random.nextInt(5));
            }
            ClientRequest request = new ClientRequest(site, classIndex, now, work, object);
            clientRequests.add(request);
            Director d = directors.get(site);
            for (int i = 1; !d.isUp && i < SITE_COUNT; i++) {
                d = directors.get((site + i) % SITE_COUNT);
            }
            if (d.isUp) {
                d.arrive(request);
            }
            scheduleNextRequest(site);
        });
    }

    // ---- The failover controller ----

    private void runController() {
        schedule(now + CONTROLLER_TICK, this::runController);
        if (!directors.get(controllerSite).isUp) {
            for (int i = 0; i < SITE_COUNT; i++) {
                if (directors.get(i).isUp) {
                    controllerSite = i;
                }
            }
            controllerActiveFrom = now + CONTROLLER_TAKEOVER;
        }
        Director d = directors.get(controllerSite);
        if (strategy == Strategy.ALONE || now < controllerActiveFrom || !d.isUp) {
            return;
        }
        Set<String> absent = new TreeSet<>();
        directors.forEach(x -> {
            if (!x.isUp) {
                absent.add(x.name);
            }
        });
        for (SiteStatusChange change : d.failoverController.proposeChanges(now, failover, absent)) {
            if (strategy != Strategy.SEEING
                    || change.phase() == SiteStatus.Phase.RETURNING
                    || change.phase() == SiteStatus.Phase.WHOLE) {
                commitStatusChange(change);
            }
        }
        FailoverPlanRequest request =
                d.failoverController.requestPlan(now, failover).orElse(null);
        if (request != null) {
            FailoverPlan plan = computePlan(request);
            d.failoverController.planComputed(now, plan);
            FailoverPlan changed =
                    d.failoverController.takeComputedPlan(failover).orElse(null);
            if (changed != null) {
                scheduleAfterCommit(() -> {
                    failover.setPlan(changed);
                    applyCommittedState();
                });
            }
        }
    }

    private void commitStatusChange(SiteStatusChange change) {
        scheduleAfterCommit(() -> {
            if (failover.changeStatus(++lastLogIndex, change)) {
                boolean lost = change.phase() == SiteStatus.Phase.LOST;
                boolean dead = caches.stream()
                        .filter(c -> siteName(c.site).equals(change.site()))
                        .noneMatch(c -> c.model.isUp());
                if (lost && lossDeclaredAt < 0) {
                    lossDeclaredAt = now;
                }
                falseAlarmCount += lost && !dead && change.flaps() == 0 ? 1 : 0;
                if (change.phase() == SiteStatus.Phase.WHOLE && lossDeclaredAt >= 0) {
                    restoredAt = now;
                }
                applyCommittedState();
            }
        });
    }

    private void applyCommittedState() {
        directors.forEach(x -> {
            if (x.isUp) {
                x.failoverController.trackChanges(now, failover);
                x.overflowRouter.follow(now, failover, 1);
            }
        });
    }

    private FailoverPlan computePlan(FailoverPlanRequest request) {
        if (strategy == Strategy.PLANNED || strategy == Strategy.SEEING) {
            FailoverPlan p = new FailoverPlanner().plan(sites, request);
            return injectedFault == InjectedFault.NO_BOUND ? unbounded(p, request.lost()) : p;
        }
        TreeMap<String, java.util.SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        for (String s : sites.byName().keySet()) {
            Set<String> lost = new TreeSet<>(request.lost());
            lost.add(s);
            java.util.SortedMap<String, FailoverPlan.Distribution> shares = new TreeMap<>();
            for (String l : lost) {
                List<FailoverPlan.Allocation> parts = new ArrayList<>();
                for (Site.FailoverTarget t : sites.byName().get(l).failoverTargets()) {
                    if (!lost.contains(t.site()) && (strategy == Strategy.PROPORTIONAL || parts.isEmpty())) {
                        parts.add(new FailoverPlan.Allocation(t.site(), 1, 1e6));
                    }
                }
                shares.put(l, new FailoverPlan.Distribution(parts, 0));
            }
            cases.put(String.join("+", lost), shares);
        }
        return new FailoverPlan(cases);
    }

    private static FailoverPlan unbounded(FailoverPlan p, Set<String> lost) {
        TreeMap<String, java.util.SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        p.cases().forEach((k, c) -> {
            java.util.SortedMap<String, FailoverPlan.Distribution> shares = new TreeMap<>();
            c.forEach((s, x) -> shares.put(
                    s,
                    new FailoverPlan.Distribution(
                            x.allocations().stream()
                                    .map(y -> new FailoverPlan.Allocation(y.site(), y.load(), 1e6))
                                    .toList(),
                            x.rejected())));
            cases.put(k, shares);
        });
        return new FailoverPlan(cases);
    }

    // ---- Incidents ----

    private void scheduleIncident() {
        int other = 1 + random.nextInt(SITE_COUNT - 1);
        switch (incident) {
            case ONE -> loseSite(0, LOST_AT, RECOVERED_AT, false);
            case TWO -> {
                loseSite(0, LOST_AT, RECOVERED_AT, false);
                loseSite(other, LOST_AT + 4 * SECOND, RECOVERED_AT + 3 * SECOND, false);
            }
            case WHOLE -> loseSite(0, LOST_AT, RECOVERED_AT, true);
            case FLAPS -> {
                loseSite(0, LOST_AT, RECOVERED_AT, false);
                loseSite(0, RECOVERED_AT + 6 * SECOND, RECOVERED_AT + 12 * SECOND, false);
            }
            case SEEN_BY_HALF -> {
                // Only the directors of two other sites lose contact, so no loss must be declared.
                schedule(LOST_AT, () -> {
                    cutLinks.add(100 + 0);
                    cutLinks.add(200 + 0);
                });
                schedule(RECOVERED_AT, cutLinks::clear);
            }
            case CACHES_VANISH -> {
                sitesWithVanishedCaches.add(0);
                loseSite(0, LOST_AT, RECOVERED_AT, false);
            }
            case SLOW -> {
                schedule(LOST_AT, () -> slowSite = 0);
                schedule(RECOVERED_AT, () -> slowSite = -1);
            }
            case COPIES_VOID -> {
                loseSite(0, LOST_AT, RECOVERED_AT, false);
                schedule(RECOVERED_AT + 7 * SECOND, () -> caches.forEach(c -> c.model.discardCopies()));
            }
            case SCAN, OVERSIZED -> loseSite(0, LOST_AT, RECOVERED_AT, false);
            case LIST_SHRINKS -> {
                // Half of the caches of a healthy site are missing from all lists for 4 s; then another site is lost.
                schedule(LOST_AT - 12 * SECOND, () -> {
                    listedCaches.removeIf(c -> c.site == 2 && c.id % 2 == 0);
                    directors.forEach(Director::sendEndpointSnapshot);
                });
                schedule(LOST_AT - 8 * SECOND, () -> setListed(2, true));
                loseSite(0, LOST_AT, RECOVERED_AT, false);
            }
            default -> {
                loseSite(0, LOST_AT, RECOVERED_AT, false);
                loseSite(1, LOST_AT + 8 * SECOND, RECOVERED_AT, false); // The nearest target of site 0, under its load.
            }
        }
    }

    private void loseSite(int site, long from, long to, boolean directorToo) {
        schedule(from, () -> {
            forEachCache(site, c -> {
                c.model.kill();
                c.lifecycleEpoch++;
            });
            if (directorToo) {
                Director d = directors.get(site);
                d.isUp = false;
                d.lifecycleEpoch++;
                d.openRequests.clear();
            }
            if (strategy == Strategy.SEEING) {
                String lost = siteName(site);
                long expected = failover.status(lost).lastChangeIndex();
                failover.changeStatus(
                        ++lastLogIndex,
                        new SiteStatusChange(lost, SiteStatus.Phase.LOST, SiteHealth.CACHES, 0, 0, expected));
                lossDeclaredAt = lossDeclaredAt < 0 ? now : lossDeclaredAt;
                applyCommittedState();
            }
        });
        schedule(from + 2 * SECOND + random.nextInt((int) (2 * SECOND)), () -> updateListing(site, false));
        schedule(to, () -> {
            forEachCache(site, c -> {
                c.model.start(now);
                c.lifecycleEpoch++;
            });
            if (directorToo) {
                directors.get(site).start();
                applyCommittedState();
            }
        });
        schedule(to + SECOND + random.nextInt((int) SECOND), () -> updateListing(site, true));
    }

    private void forEachCache(int site, java.util.function.Consumer<Cache> then) {
        caches.stream().filter(c -> c.site == site).forEach(then);
    }

    private void updateListing(int site, boolean ready) {
        boolean alive = caches.stream().anyMatch(c -> c.site == site && c.model.isUp());
        if (alive != ready) {
            return; // The site changed again before the list was updated.
        }
        setListed(site, ready);
    }

    private void setListed(int site, boolean ready) {
        forEachCache(site, c -> {
            listedCaches.remove(c);
            if (ready) {
                listedCaches.add(c);
            }
        });
        listedCaches.sort((a, b) -> Long.compare(a.id, b.id));
        directors.forEach(d -> {
            if (d.isUp) {
                d.sendEndpointSnapshot();
            }
        });
    }

    // ---- Results ----

    SitesSim run() {
        while (!queue.isEmpty() && queue.peek().dueAt() <= SIMULATION_END && violation == null) {
            Event event = queue.poll();
            now = event.dueAt();
            event.action().run();
        }
        return this;
    }

    int coldOverloadCount() {
        return caches.stream().mapToInt(c -> c.model.coldOverloadCount()).sum();
    }

    int duplicateEffectCount() {
        return (int) clientRequests.stream()
                .filter(request -> request.effectCount > 1)
                .count();
    }

    /** Counts requests that got no answer by their deadline, without those that a dying director lost. */
    long unansweredCount() {
        return clientRequests.stream()
                        .filter(request -> !request.answered && request.id > 0 && request.deadline < SIMULATION_END)
                        .count()
                - abandonedCount();
    }

    // Counts unanswered requests that arrived at the lost director before it died.
    private long abandonedCount() {
        return incident != Incident.WHOLE
                ? 0
                : clientRequests.stream()
                        .filter(request -> !request.answered
                                && request.id > 0
                                && request.deadline < SIMULATION_END
                                && request.site == 0
                                && request.arrivedAt < LOST_AT)
                        .count();
    }

    /** Returns the share of worth served in time, for requests that arrive in the interval at one site (-1: all sites). */
    double servedWorthShare(long from, long to, int site) {
        double servedWorth = 0;
        double requestedWorth = 0;
        for (ClientRequest request : clientRequests) {
            if (request.arrivedAt >= from && request.arrivedAt < to && (site < 0 || request.site == site)) {
                requestedWorth += CLASS_WORTH[request.classIndex];
                servedWorth += request.isServedInTime() ? CLASS_WORTH[request.classIndex] : 0;
            }
        }
        return requestedWorth == 0 ? 1 : servedWorth / requestedWorth;
    }

    /** Returns the share of worth served in time in the worst ten seconds of the interval, over all sites. */
    double worstTenSecondShare(long from, long to) {
        double worst = 1;
        for (long t = from; t + 10 * SECOND <= to; t += SECOND) {
            worst = Math.min(worst, servedWorthShare(t, t + 10 * SECOND, -1));
        }
        return worst;
    }

    static long lostAt() {
        return LOST_AT;
    }

    static long recoveredAt() {
        return RECOVERED_AT;
    }

    static long incidentEnds() {
        return SIMULATION_END - 10 * SECOND;
    }
}
