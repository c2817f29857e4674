package pewtercourse.director;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.MonotonicClock;
import pewtercourse.Timers;
import pewtercourse.WallClock;
import pewtercourse.cache.ConnectionPool;
import pewtercourse.cache.HttpTransport;
import pewtercourse.cache.Transport;
import pewtercourse.config.DirectorConfig;
import pewtercourse.config.SiteSettings;
import pewtercourse.decision.AttemptFinished;
import pewtercourse.decision.CancelAttempt;
import pewtercourse.decision.ContentPurged;
import pewtercourse.decision.EndpointsChanged;
import pewtercourse.decision.FailRequest;
import pewtercourse.decision.GossipReceived;
import pewtercourse.decision.Idempotency;
import pewtercourse.decision.IdempotencyKeyTable;
import pewtercourse.decision.QuotaChanged;
import pewtercourse.decision.RejectRequest;
import pewtercourse.decision.RequestArrived;
import pewtercourse.decision.RequestClass;
import pewtercourse.decision.RouterAction;
import pewtercourse.decision.RouterEvent;
import pewtercourse.decision.RouterSettings;
import pewtercourse.decision.RoutingEngine;
import pewtercourse.decision.SendAttempt;
import pewtercourse.decision.SendGossip;
import pewtercourse.decision.SettingsChanged;
import pewtercourse.decision.SlowStartStatus;
import pewtercourse.decision.StartTimer;
import pewtercourse.decision.TimerFired;
import pewtercourse.discovery.EndpointWatch;
import pewtercourse.discovery.FeedClock;
import pewtercourse.discovery.HttpWatchTransport;
import pewtercourse.discovery.MalformedEventException;
import pewtercourse.discovery.WatchEvent;
import pewtercourse.discovery.WatchEventDecoder;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.OverflowDecision;
import pewtercourse.failover.OverflowRequest;
import pewtercourse.failover.OverflowRouter;
import pewtercourse.failover.Site;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteObserver;
import pewtercourse.failover.Sites;
import pewtercourse.front.Answer;
import pewtercourse.front.ClientExchange;
import pewtercourse.front.ClientRequest;
import pewtercourse.front.ReadDelays;
import pewtercourse.front.RequestHandler;
import pewtercourse.gossip.GossipSocket;
import pewtercourse.handover.ClaimedIds;
import pewtercourse.handover.OperatorState;
import pewtercourse.hash.StableHash;
import pewtercourse.memory.HeldBytes;
import pewtercourse.memory.MemoryStage;
import pewtercourse.memory.ReadControl;

/**
 * Connects the sockets with the routing engine: passes events to the routers in order of arrival, in one batch
 * for each turn of the event loop, and carries out the actions that they order. Confined to one event loop.
 */
public final class Director implements RequestHandler {
    // An idle connection is reused only within this fraction of the time after which a cache closes it.
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    // Retry delay for clients that are rejected because too many bytes of responses are held. Their caches send these
    // within a second.
    private static final long MEMORY_RETRY_AFTER_MS = 250;

    // Retry delay for clients that are rejected because the event loop is behind: about as long as it takes to catch
    // up.
    static final long OVERLOAD_RETRY_AFTER_MS = 250;

    // If a turn of the event loop starts later than this, expired requests are answered before all else.
    private static final long LATE_TURN_MICROS = 20_000;

    SiteSettings siteSettings; // Of the last configuration that was accepted.
    final LongSupplier clock = new MonotonicClock();
    final Timers timers;
    final ConnectionPool pool;
    final ServiceRegistry registry;
    private final FeedClock feedClock = new FeedClock();
    private final StartTimes startTimes;
    final boolean tracing = Boolean.getBoolean("pewtercourse.trace");
    private DirectorConfig config;
    final HeldBytes held;
    private final ReadControl readControl;
    private final OverloadGuard overloadGuard = new OverloadGuard();
    private final Vertx vertx;
    private final RouterEventQueue localRouterQueue;
    // By zone: for requests that the caches of other zones serve.
    private final Map<String, RouterEventQueue> remoteRouterQueues = new HashMap<>();
    private final IdempotencyKeyTable idempotencyKeys = new IdempotencyKeyTable();
    private final GossipSocket gossipSocket;
    private final SlowStartMonitor slowStartMonitor;
    private final Map<Long, ProxiedRequest> requests = new HashMap<>();
    private final UsedIds usedIds = new UsedIds();
    private ClaimedIds claimedIds = ClaimedIds.unshared(WallClock::unixMillis);
    private EndpointWatch endpointWatch;
    private Sites sites; // Null unless the caches of other sites may serve this director's clients.
    private OverflowRouter overflowRouter;
    private SiteObserver siteObserver;
    private Runnable peerMessageListener = () -> {};
    private boolean stopped;

    /**
     * Creates a director that sends requests to real caches and counts the bytes of their responses. Must be called on the
     * event loop's context.
     */
    public Director(Vertx vertx, DirectorConfig config, HeldBytes held) {
        this(vertx, config, held, new ReadControl(held));
    }

    private Director(Vertx vertx, DirectorConfig config, HeldBytes held, ReadControl readControl) {
        this(vertx, config, held, readControl, new HttpTransport(vertx, readControl), Timers.of(vertx));
    }

    /**
     * Creates a director that reaches its caches by {@code transport}. Must be called on the event loop's
     * context.
     */
    public Director(Vertx vertx, DirectorConfig config, Transport transport) {
        this(vertx, config, transport, Timers.of(vertx));
    }

    Director(Vertx vertx, DirectorConfig config, Transport transport, Timers timers) {
        this(vertx, config, new HeldBytes(config.memoryLimits()), transport, timers);
    }

    Director(Vertx vertx, DirectorConfig config, HeldBytes held, Transport transport, Timers timers) {
        this(vertx, config, held, new ReadControl(held), transport, timers);
    }

    private Director(
            Vertx vertx,
            DirectorConfig config,
            HeldBytes held,
            ReadControl readControl,
            Transport transport,
            Timers timers) {
        this.held = held;
        this.readControl = readControl;
        this.vertx = vertx;
        this.config = config;
        this.siteSettings = config.site();
        this.timers = timers;
        this.pool = new ConnectionPool(
                transport,
                timers,
                clock,
                (long) (IDLE_TIMEOUT_FRACTION * siteSettings.idleTimeoutMicros()),
                config.maxCacheConnections());
        this.startTimes = new StartTimes(feedClock, clock);
        this.registry = new ServiceRegistry(siteSettings, pool, startTimes);
        this.slowStartMonitor = new SlowStartMonitor(registry::get);
        this.localRouterQueue = newRouterQueue(siteSettings.router(), false);
        this.gossipSocket = new GossipSocket(vertx, config.peers(), config.inheritsSocket(), (from, bytes) -> {
            peerMessageListener.run();
            localRouterQueue.enqueue(new GossipReceived(from, bytes));
        });
    }

    /** Sets what runs at each message of another director; directors send messages only while they serve. */
    public void onPeerMessage(Runnable listener) {
        peerMessageListener = listener;
    }

    /** Applies the initial events of the configuration, then follows the control feed and listens to the peers. */
    public void start() {
        applyInitialEvents();
        if (config.feed() != null) {
            watchEndpoints(config.feed());
        }
        if (config.peerListen() != null) {
            gossipSocket.listen(config.peerListen()).onFailure(e -> Log.warn("peer.not_listening", "error", e));
        }
        monitorSlowStarts();
    }

    private void monitorSlowStarts() {
        if (!stopped) {
            slowStartMonitor.observe(localRouterQueue.router().status().slowStarts());
            timers.set(SlowStartMonitor.INTERVAL_MS, this::monitorSlowStarts);
        }
    }

    private void applyInitialEvents() {
        List<WatchEvent> events = decodeInitialEvents();
        long latestMs =
                events.stream().mapToLong(WatchEvent::latestTimestampMs).max().orElse(0);
        feedClock.start(clock.getAsLong(), latestMs, WallClock.unixMillis());
        startTimes.setReadsInitialEvents(true);
        for (WatchEvent event : events) {
            if (event instanceof WatchEvent.Purge purge) {
                applyPurge(purge, feedClock.ageInInitialEvent(clock.getAsLong(), purge.purgedMs()));
            } else {
                applyWatchEvent(event);
            }
        }
        startTimes.setReadsInitialEvents(false);
    }

    private List<WatchEvent> decodeInitialEvents() {
        List<WatchEvent> events = new ArrayList<>();
        for (int i = 0; i < config.known().size(); i++) {
            try {
                events.add(WatchEventDecoder.decode(config.known().getJsonObject(i)));
            } catch (MalformedEventException e) {
                logMalformedInitialEvent(i, e.getCause());
            } catch (RuntimeException e) {
                logMalformedInitialEvent(i, e);
            }
        }
        return events;
    }

    private static void logMalformedInitialEvent(int index, Throwable error) {
        Log.warn("discovery.malformed", "event", "known.events[" + index + "]", "error", error);
    }

    private void watchEndpoints(InetSocketAddress feed) {
        endpointWatch = new EndpointWatch(
                new HttpWatchTransport(vertx),
                timers,
                feed,
                config.knownNumber(),
                new Random(config.seed()),
                this::applyWatchEvent);
        endpointWatch.start();
    }

    /**
     * Applies a new configuration, which was checked before: its settings and the address of its control feed
     * take effect at once. All other changes need a restart, and their keys are logged.
     */
    public void reload(DirectorConfig newConfig) {
        List<String> keysThatNeedRestart = newConfig.keysNeedingRestart(config);
        if (!keysThatNeedRestart.isEmpty()) {
            Log.warn("config.needs_restart", "keys", String.join(",", keysThatNeedRestart));
        }
        SiteSettings newSettings = newConfig.site().withClassIndexesOf(siteSettings);
        boolean namesChanged = !newSettings.resolvesNamesLike(siteSettings);
        siteSettings = newSettings;
        localRouterQueue.enqueue(new SettingsChanged(newSettings.router()));
        remoteRouterQueues.forEach(
                (zone, queue) -> queue.enqueue(new SettingsChanged(newSettings.remoteRouterSettings(zone))));
        pool.setMaxIdleMicros((long) (IDLE_TIMEOUT_FRACTION * newSettings.idleTimeoutMicros()));
        registry.updateSettings(newSettings);
        if (namesChanged) {
            enqueueForAllRouters(registry.snapshot());
        }
        config = newConfig;
        if (newConfig.feed() != null && endpointWatch != null) {
            endpointWatch.move(newConfig.feed());
        } else if (newConfig.feed() != null) {
            watchEndpoints(newConfig.feed());
        }
        Log.info(
                "config.reloaded",
                "feed",
                newConfig.feed(),
                "classes",
                String.join(",", new TreeSet<>(newSettings.classes().keySet())),
                "attempts",
                newSettings.router().retry().maxAttempts());
    }

    /** Drains an endpoint by an operator's call; false if no endpoint of this name is known. */
    public boolean drainEndpoint(String name) {
        return applyOperatorCall(
                name, registry.knowsEndpoint(name) ? registry.drainEndpoint(name, WallClock.unixMillis()) : null);
    }

    /** Ends the drain of an endpoint by an operator's call; false if no endpoint of this name is known. */
    public boolean reinstateEndpoint(String name) {
        return applyOperatorCall(
                name, registry.knowsEndpoint(name) ? registry.reinstateEndpoint(name, WallClock.unixMillis()) : null);
    }

    /** Sets this director's quota of requests to endpoints in slow start, as a factor of an equal share. */
    public void setQuotaFactor(double factor) {
        localRouterQueue.enqueue(new QuotaChanged(factor));
    }

    /** How much more of that quota this director could use, as a fraction of an equal share. */
    public double wantedQuota() {
        return localRouterQueue.router().status().slowStartLimited() ? 1 : 0;
    }

    /** Whether an endpoint of this name is listed or drained. */
    public boolean knowsEndpoint(String name) {
        return registry.knowsEndpoint(name);
    }

    /** The zone whose caches this director serves; empty if its configuration names none. */
    public String ownZone() {
        return config.zone();
    }

    /** The zone of a listed endpoint; empty if it is not listed. */
    public String zoneOf(String name) {
        return registry.zoneOf(name);
    }

    /** Number of caches listed in a zone. */
    public int zoneSize(String zone) {
        return registry.zoneSize(zone);
    }

    /**
     * Adopts the drains that operators ordered from another process of this director, or that the cluster
     * agreed on.
     */
    public void applyOperatorState(OperatorState state) {
        EndpointsChanged change = registry.adoptDrains(state.drained(), state.reinstated(), WallClock.unixMillis());
        if (!change.endpoints().isEmpty()) {
            enqueueForAllRouters(change);
        }
    }

    /** The operators' orders, for another process of this director. */
    public OperatorState operatorState(boolean standby) {
        return new OperatorState(
                ProcessHandle.current().pid(),
                standby,
                Map.copyOf(registry.drains().drained()),
                Map.copyOf(registry.drains().reinstated()));
    }

    private boolean applyOperatorCall(String name, EndpointsChanged change) {
        if (change != null) {
            enqueueForAllRouters(change);
        }
        return registry.knowsEndpoint(name);
    }

    /** Current values of the metrics that the parts of the director and its caller keep. */
    public Metrics.GaugeValues gaugeValues(long acceptedConfigs, long invalidConfigs, ReadDelays delays) {
        return new Metrics.GaugeValues(
                pool.requestsWritten(),
                registry.size(),
                registry.drainedSize() + localRouterQueue.router().status().ejectedEndpoints(),
                acceptedConfigs,
                invalidConfigs,
                localRouterQueue.router().status().givenUp(),
                slowStartsByName(),
                held,
                readControl,
                delays,
                overloadGuard.rejections());
    }

    private Map<String, SlowStartStatus> slowStartsByName() {
        Map<String, SlowStartStatus> byName = new TreeMap<>();
        for (SlowStartStatus status : localRouterQueue.router().status().slowStarts()) {
            byName.put(registry.get(status.endpointId()).name(), status);
        }
        return byName;
    }

    /** Whether the settings have a class of requests of this name. */
    public boolean knowsClass(String name) {
        return siteSettings.classes().containsKey(name);
    }

    /** The director's monotonic clock, in microseconds. */
    public LongSupplier clock() {
        return clock;
    }

    /** Number of requests that are not finished: unanswered, or answered while an attempt still runs. */
    public int openRequests() {
        return requests.size();
    }

    private void applyWatchEvent(WatchEvent event) {
        if (event instanceof WatchEvent.EndpointUpdate update) {
            enqueueForAllRouters(registry.apply(update));
            updateOwnCachesListed();
        } else if (event instanceof WatchEvent.Purge purge) {
            applyPurge(purge, feedClock.ageOfPurge(clock.getAsLong(), purge.purgedMs()));
        }
    }

    private void applyPurge(WatchEvent.Purge purge, long ageMicros) {
        requests.values().forEach(request -> request.recordPurge(purge));
        enqueueForAllRouters(new ContentPurged(purge.object(), purge.group(), ageMicros));
    }

    @Override
    public Runnable handle(ClientRequest clientRequest, ClientExchange client) {
        Integer classIndex = siteSettings.classes().get(clientRequest.className());
        // Checked before the ProxiedRequest is created: a rejected request must not leave a timer, which would
        // end the open request of the same id.
        if (classIndex == null
                || requests.containsKey(ProxiedRequest.parseId(clientRequest))
                || usedIds.contains(ProxiedRequest.parseId(clientRequest))
                || claimedIds.contains(ProxiedRequest.parseId(clientRequest))) {
            Log.counted(
                    "request.unusable",
                    "id",
                    clientRequest.id(),
                    "class",
                    classIndex == null ? "unknown" : clientRequest.className());
            client.accept(Answer.failed());
            return () -> {};
        }
        if (!overloadGuard.admits(
                clock.getAsLong(), clientRequest.arrivedAtMicros(), (long) (clientRequest.deadlineMs() * 1000))) {
            rejectForOverload(clientRequest, client);
            return () -> {};
        }
        if (!readControl.admitsRequests()) {
            rejectForMemory(client);
            return () -> {};
        }
        ProxiedRequest request = new ProxiedRequest(this, clientRequest, classIndex, client);
        requests.put(request.id, request);
        request.route();
        return request::onClientDisconnected;
    }

    // Nothing of the request was sent, and what is held may last until its deadline.
    private void rejectForMemory(ClientExchange client) {
        held.recordRejection(MemoryStage.RECEIVING);
        Log.counted("memory.rejected", "stage", MemoryStage.RECEIVING, "held", held.responseBytes());
        refuse(client, MEMORY_RETRY_AFTER_MS);
    }

    private void rejectForOverload(ClientRequest request, ClientExchange client) {
        Log.counted(
                "overload.rejected",
                "id",
                request.id(),
                "class",
                request.className(),
                "waited_ms",
                (clock.getAsLong() - request.arrivedAtMicros()) / 1_000);
        refuse(client, OVERLOAD_RETRY_AFTER_MS);
    }

    private void refuse(ClientExchange client, long retryAfterMs) {
        long maxRetryAfterMs = siteSettings.router().retry().maxRetryAfter() / 1_000;
        Answer refusal = Answer.refused(Math.min(retryAfterMs, maxRetryAfterMs));
        // The front takes a request that is answered at once for an invalid one, and reads its client more slowly.
        timers.afterReads(() -> client.accept(refusal));
    }

    /** Answers all open requests as failed, at once. */
    public void failOpenRequests() {
        List.copyOf(requests.values()).forEach(ProxiedRequest::abort);
    }

    /** Stops a director that was never in service: fails its open requests, and ignores all later events. */
    public void stop() {
        stopped = true;
        failOpenRequests();
        requests.clear();
        gossipSocket.close();
    }

    /** Remembers the id of a request that has its answer. */
    void recordAnswered(ProxiedRequest request) {
        usedIds.recordAnswered(request.id, clock.getAsLong());
    }

    /** Sets the claims on ids of requests with effects; called before the first request, if other processes share them. */
    public void setClaimedIds(ClaimedIds claimedIds) {
        this.claimedIds = claimedIds;
    }

    /** The ids of requests with effects that a cache may have run. */
    ClaimedIds claimedIds() {
        return claimedIds;
    }

    /** Removes a finished request. */
    void removeRequest(ProxiedRequest request) {
        requests.remove(request.id, request);
    }

    private void updateOwnCachesListed() {
        if (overflowRouter != null) {
            overflowRouter.setOwnCachesListed(registry.readyCaches().getOrDefault(config.zone(), 0) > 0);
        }
    }

    // For changes of the endpoint list and for purges, which concern every router.
    private void enqueueForAllRouters(RouterEvent event) {
        localRouterQueue.enqueue(event);
        remoteRouterQueues.values().forEach(queue -> queue.enqueue(event));
    }

    // ---- Sites: whose caches serve a request ----

    /** Lets the caches of other sites serve this director's clients from now on, as the failover state allows. */
    public void setSites(Sites newSites) {
        sites = newSites;
        overflowRouter = new OverflowRouter(
                newSites, config.zone(), siteSettings.router().retry().maxRetryAfter(), config.seed());
        siteObserver = siteObserver == null ? new SiteObserver(config.zone()) : siteObserver;
        updateOwnCachesListed();
    }

    /** Applies a change of what the cluster has agreed on the sites; {@code absent} names the absent directors. */
    public void applyFailoverState(FailoverState failover, Set<String> absent) {
        if (sites == null) {
            return;
        }
        Site ownSite = sites.byName().get(config.zone());
        int presentDirectors = ownSite == null
                ? 1
                : (int) ownSite.directors().stream()
                        .filter(director -> !absent.contains(director))
                        .count();
        overflowRouter.follow(clock.getAsLong(), failover, presentDirectors);
    }

    /** What was observed of each site in the last seconds; empty without sites. */
    public Map<String, SiteObservation> siteObservations() {
        return sites == null
                ? Map.of()
                : siteObserver.observe(clock.getAsLong(), sites, registry.readyCaches(), registry.readyParents());
    }

    /** Observes the sites; null without sites. */
    SiteObserver siteObserverOrNull() {
        return siteObserver;
    }

    /** Chooses the site that serves a request; null if no request is diverted from the own site. */
    OverflowDecision chooseSite(ClientRequest request, int classIndex, long deadline) {
        if (overflowRouter == null) {
            return null;
        }
        long now = clock.getAsLong();
        RequestClass requestClass = siteSettings.router().classes().get(classIndex);
        double serviceMicros =
                request.sizeKb() > 0 && siteSettings.router().bandwidth().clientKbPerSecond() > 0
                        ? request.sizeKb() / siteSettings.router().bandwidth().clientKbPerSecond() * 1e6
                        : requestClass.latencyObjective() / 2.0;
        siteObserver.recordRequest(now, serviceMicros);
        if (!overflowRouter.diverting()) {
            return null;
        }
        boolean unconditional = requestClass.idempotency() == Idempotency.NON_IDEMPOTENT || requestClass.uncacheable();
        return overflowRouter.choose(
                now,
                new OverflowRequest(
                        StableHash.of(request.object()),
                        siteSettings.worths().get(request.className()).worth(),
                        serviceMicros,
                        requestClass.latencyObjective(),
                        deadline,
                        (long) serviceMicros,
                        unconditional,
                        false));
    }

    /** The queue of the router for a zone's caches. */
    RouterEventQueue routerQueue(String zone) {
        if (zone.equals(config.zone())) {
            return localRouterQueue;
        }
        return remoteRouterQueues.computeIfAbsent(zone, remoteZone -> {
            RouterEventQueue queue = newRouterQueue(siteSettings.remoteRouterSettings(remoteZone), true);
            // The capacity of another zone's caches in slow start is left to the clients of that zone.
            queue.enqueue(new QuotaChanged(0));
            queue.enqueue(registry.snapshot());
            return queue;
        });
    }

    private RouterEventQueue newRouterQueue(RouterSettings settings, boolean remoteZone) {
        return new RouterEventQueue(
                new RoutingEngine(settings, config.seed(), idempotencyKeys),
                remoteZone,
                clock,
                queue -> timers.afterReads(() -> handleNextBatch(queue)),
                this::removeRequest);
    }

    /** The queue of the router for the caches of this director's zone. */
    RouterEventQueue localRouterQueue() {
        return localRouterQueue;
    }

    private void handleNextBatch(RouterEventQueue queue) {
        if (stopped) {
            return;
        }
        if (queue.turnDelayMicros() > LATE_TURN_MICROS) {
            failExpiredRequests();
        }
        queue.handleNextBatch(batch -> handleBatch(queue, batch));
    }

    // The timers of these requests may run only after much other work.
    private void failExpiredRequests() {
        long now = clock.getAsLong();
        List.copyOf(requests.values()).forEach(request -> request.failIfExpired(now));
    }

    private void handleBatch(RouterEventQueue queue, List<RouterEvent> batch) {
        try {
            for (RouterAction action : queue.router().handle(clock.getAsLong(), batch)) {
                execute(queue, action);
            }
        } catch (RuntimeException e) {
            Log.error("decision.unexpected", e);
            for (RouterEvent event : batch) {
                if (event instanceof RequestArrived arrived && requests.containsKey(arrived.requestId())) {
                    requests.get(arrived.requestId()).abort();
                } else if (event instanceof AttemptFinished finished && requests.containsKey(finished.requestId())) {
                    requests.get(finished.requestId()).abort();
                }
            }
        }
    }

    private void execute(RouterEventQueue queue, RouterAction action) {
        if (action instanceof StartTimer timer) {
            timers.set(
                    Timers.millis(timer.dueAt() - clock.getAsLong()),
                    () -> queue.enqueue(new TimerFired(timer.name())));
        } else if (action instanceof SendGossip gossip) {
            gossipSocket.send(gossip.router(), gossip.payload());
        } else if (action instanceof SendAttempt send) {
            withRequest(send.requestId(), request -> request.sendAttempt(send));
        } else if (action instanceof CancelAttempt cancel) {
            withRequest(cancel.requestId(), request -> request.cancelAttempt(cancel.attempt()));
        } else if (action instanceof RejectRequest reject) {
            withRequest(reject.requestId(), request -> request.reject(reject.retryAfter()));
        } else if (action instanceof FailRequest fail) {
            withRequest(fail.requestId(), ProxiedRequest::fail);
        }
    }

    private void withRequest(long id, Consumer<ProxiedRequest> action) {
        ProxiedRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        try {
            action.accept(request);
        } catch (RuntimeException e) {
            Log.error("request.unexpected", e);
            request.abort();
        }
    }
}
