package pewtercourse.director;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pewtercourse.Log;
import pewtercourse.Timers;
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
import pewtercourse.decision.StartTimer;
import pewtercourse.decision.TimerFired;
import pewtercourse.discovery.EndpointWatch;
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
import pewtercourse.front.ClientRequest;
import pewtercourse.front.RequestHandler;
import pewtercourse.gossip.GossipSocket;
import pewtercourse.handover.OperatorState;
import pewtercourse.hash.StableHash;

/**
 * Between the sockets and the decision module: hands it what happened, in order of arrival and in one batch for
 * each turn of the event loop, and carries out what it orders. All runs on one event loop.
 */
public final class Director implements RequestHandler {
    // An idle connection is not used in the last part of the time after which a cache closes it.
    private static final double IDLE_SHARE = 0.8;

    // An id is new with every request, so one that was answered before is no usual client's.
    private static final int ANSWERED_MOST = 4_096;

    // A turn is late after this; what is due is then answered before anything else.
    private static final long LATE = 20_000;

    SiteSettings site; // As of the last file that was taken.
    final LongSupplier clock = new UnixClock();
    final Timers timers;
    final ConnectionPool pool;
    final ServiceRegistry registry;
    final boolean tracing = Boolean.getBoolean("pewtercourse.trace");
    private DirectorConfig config;
    private final Vertx vertx;
    private final Context context;
    private final RouterEventQueue home;
    private final Map<String, RouterEventQueue> abroad =
            new HashMap<>(); // By zone: for requests that its caches take as guests.
    private final GossipSocket peers;
    private final Map<Long, ProxiedRequest> requests = new HashMap<>();
    private final Set<Long> answered = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > ANSWERED_MOST;
        }
    });
    private EndpointWatch endpointWatch;
    private Sites sites; // Null where no site takes another's clients.
    private OverflowRouter overflowRouter;
    private SiteObserver siteObservations;
    private Runnable peerHeard = () -> {};
    private boolean stopped;

    /** Must be called on the event loop's context. */
    public Director(Vertx vertx, DirectorConfig config) {
        this(vertx, config, new HttpTransport(vertx));
    }

    public Director(Vertx vertx, DirectorConfig config, Transport transport) {
        this(vertx, config, transport, Timers.of(vertx));
    }

    Director(Vertx vertx, DirectorConfig config, Transport transport, Timers timers) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.config = config;
        this.site = config.site();
        this.timers = timers;
        this.pool = new ConnectionPool(
                transport, timers, clock, (long) (IDLE_SHARE * site.idleClose()), config.cacheConnections());
        this.registry = new ServiceRegistry(site, pool);
        this.home = queue(site.router(), false);
        this.peers = new GossipSocket(vertx, config.peers(), config.inherits(), (from, bytes) -> {
            peerHeard.run();
            home.tell(new GossipReceived(from, bytes));
        });
    }

    /** Runs {@code then} at each message of another director: they only send any while they serve. */
    public void onPeerMessage(Runnable then) {
        peerHeard = then;
    }

    /** Takes in what is known, then follows the feed and the peers. */
    public void start() {
        for (int i = 0; i < config.known().size(); i++) {
            try {
                handle(WatchEventDecoder.decode(config.known().getJsonObject(i)));
            } catch (MalformedEventException e) {
                logMalformedInitialEvent(i, e.getCause());
            } catch (RuntimeException e) {
                logMalformedInitialEvent(i, e);
            }
        }
        if (config.feed() != null) {
            watchEndpoints(config.feed());
        }
        if (config.peerListen() != null) {
            peers.listen(config.peerListen()).onFailure(e -> Log.warn("peer.not_listening", "error", e));
        }
    }

    private static void logMalformedInitialEvent(int place, Throwable error) {
        Log.warn("discovery.malformed", "event", "known.events[" + place + "]", "error", error);
    }

    private void watchEndpoints(InetSocketAddress feed) {
        endpointWatch = new EndpointWatch(
                new HttpWatchTransport(vertx),
                timers,
                feed,
                config.knownNumber(),
                new Random(config.seed()),
                this::handle);
        endpointWatch.start();
    }

    /**
     * A new configuration, already checked: its settings count and the feed moves at once; all else needs a restart and
     * is named.
     */
    public void reload(DirectorConfig to) {
        List<String> later = to.changedSince(config);
        if (!later.isEmpty()) {
            Log.warn("config.needs_restart", "keys", String.join(",", later));
        }
        SiteSettings next = to.site().placed(site);
        boolean listAnew = !next.namesAlike(site);
        site = next;
        home.tell(new SettingsChanged(next.router()));
        abroad.forEach((zone, d) -> d.tell(new SettingsChanged(next.guestsAt(zone))));
        pool.setMaxIdleMicros((long) (IDLE_SHARE * next.idleClose()));
        registry.use(next);
        if (listAnew) {
            tell(registry.whole());
        }
        config = to;
        if (to.feed() != null && endpointWatch != null) {
            endpointWatch.move(to.feed());
        } else if (to.feed() != null) {
            watchEndpoints(to.feed());
        }
        Log.info(
                "config.reloaded",
                "feed",
                to.feed(),
                "classes",
                String.join(",", new TreeSet<>(next.classes().keySet())),
                "attempts",
                next.router().retry().maxAttempts());
    }

    /** Takes a member out by hand; false if none of this name is known. */
    public boolean drainEndpoint(String name) {
        return byHand(name, registry.knows(name) ? registry.takeOut(name, clock.getAsLong() / 1000) : null);
    }

    /** The end of that; false if none of this name is known. */
    public boolean reinstateEndpoint(String name) {
        return byHand(name, registry.knows(name) ? registry.putBack(name, clock.getAsLong() / 1000) : null);
    }

    /** This director's part of what cold caches bear, as a factor on an equal part. */
    public void setQuotaFactor(double factor) {
        home.tell(new QuotaChanged(factor));
    }

    /** How much more of that it could use, as a share of an equal part. */
    public double wantedQuota() {
        return home.router().status().slowStartLimited() ? 1 : 0;
    }

    public boolean knowsEndpoint(String name) {
        return registry.knows(name);
    }

    /** The zone of a listed cache or parent, "" where it is not listed. */
    public String zoneOf(String name) {
        return registry.zoneOf(name);
    }

    /** Caches listed in a zone. */
    public int zoneSize(String zone) {
        return registry.zoneSize(zone);
    }

    /** What operators told another process of this director. */
    public void applyOperatorState(OperatorState state) {
        EndpointsChanged change = registry.follow(state.drained(), state.reinstated(), clock.getAsLong() / 1000);
        if (!change.endpoints().isEmpty()) {
            tell(change);
        }
    }

    /** What another process has to know. */
    public OperatorState operatorState(boolean standby) {
        return new OperatorState(
                ProcessHandle.current().pid(),
                standby,
                Map.copyOf(registry.byHand().out()),
                Map.copyOf(registry.byHand().back()));
    }

    private boolean byHand(String name, EndpointsChanged change) {
        if (change != null) {
            tell(change);
        }
        return registry.knows(name);
    }

    /** The figures of the parts behind the front. */
    public Metrics.GaugeValues gaugeValues(long accepted, long invalid) {
        return new Metrics.GaugeValues(
                pool.requestsWritten(),
                registry.size(),
                registry.listedOut() + home.router().status().ejectedEndpoints(),
                accepted,
                invalid);
    }

    public boolean knowsClass(String name) {
        return site.classes().containsKey(name);
    }

    public LongSupplier clock() {
        return clock;
    }

    public int openRequests() {
        return requests.size();
    }

    private void handle(WatchEvent e) {
        if (e instanceof WatchEvent.EndpointUpdate m) {
            tell(registry.apply(m));
            noteListed();
        } else if (e instanceof WatchEvent.Purge p) {
            requests.values().forEach(x -> x.purged(p));
            tell(new ContentPurged(p.object(), p.group(), Math.max(0, clock.getAsLong() - p.purgedMs() * 1000)));
        }
    }

    @Override
    public Runnable handle(ClientRequest request, Consumer<Answer> answer) {
        Integer cls = site.classes().get(request.className());
        // Looked up before the exchange is made: one that is turned away must leave no timer behind, which would
        // end the request that holds the id.
        if (cls == null
                || requests.containsKey(ProxiedRequest.id(request))
                || answered.contains(ProxiedRequest.id(request))) {
            Log.counted("request.unusable", "id", request.id(), "class", cls == null ? "unknown" : request.className());
            answer.accept(Answer.failed());
            return () -> {};
        }
        ProxiedRequest x = new ProxiedRequest(this, request, cls, answer);
        requests.put(x.id, x);
        x.arrive();
        return x::clientGone;
    }

    /** What is open is answered as failed, at once. */
    public void failOpenRequests() {
        List.copyOf(requests.values()).forEach(ProxiedRequest::abandon);
    }

    /** For one that was never in service: what is open is given up at once, and from now on it does nothing. */
    public void stop() {
        stopped = true;
        giveUp();
        requests.clear();
        peers.close();
    }

    void answered(ProxiedRequest x) {
        answered.add(x.id);
    }

    void forget(ProxiedRequest x) {
        requests.remove(x.id, x);
    }

    private void noteListed() {
        if (overflowRouter != null) {
            overflowRouter.setOwnCachesListed(registry.readyCaches().getOrDefault(config.zone(), 0) > 0);
        }
    }

    // To all modules: the list and purges count for each.
    private void tell(RouterEvent e) {
        home.tell(e);
        abroad.values().forEach(d -> d.tell(e));
    }

    // ---- Sites: whose caches serve a request ----

    /** Other sites may take this director's clients, by what is agreed, from now on. */
    public void setSites(Sites to) {
        sites = to;
        overflowRouter =
                new OverflowRouter(to, config.zone(), site.router().retry().maxRetryAfter(), config.seed());
        siteObservations = siteObservations == null ? new SiteObserver(config.zone()) : siteObservations;
        noteListed();
    }

    /** What is agreed on the sites has changed. */
    public void applyFailoverState(FailoverState failover, Set<String> absent) {
        if (sites == null) {
            return;
        }
        Site own = sites.byName().get(config.zone());
        int there = own == null
                ? 1
                : (int) own.directors().stream()
                        .filter(d -> !absent.contains(d))
                        .count();
        overflowRouter.follow(clock.getAsLong(), failover, there);
    }

    /** What was seen of sites in the last seconds. */
    public Map<String, SiteObservation> siteObservations() {
        return sites == null
                ? Map.of()
                : siteObservations.observe(clock.getAsLong(), sites, registry.readyCaches(), registry.readyParents());
    }

    SiteObserver sightsOrNull() {
        return siteObservations;
    }

    /** Where a request is to go, or null: to no other site than the own one. */
    OverflowDecision choose(ClientRequest r, int cls, long expires) {
        if (overflowRouter == null) {
            return null;
        }
        long now = clock.getAsLong();
        RequestClass c = site.router().classes().get(cls);
        double work = r.sizeKb() > 0 && site.router().bandwidth().clientKbPerSecond() > 0
                ? r.sizeKb() / site.router().bandwidth().clientKbPerSecond() * 1e6
                : c.latencyObjective() / 2.0;
        siteObservations.recordRequest(now, work);
        if (!overflowRouter.diverting()) {
            return null;
        }
        boolean must = c.idempotency() == Idempotency.NON_IDEMPOTENT || c.uncacheable();
        return overflowRouter.choose(
                now,
                new OverflowRequest(
                        StableHash.of(r.object()),
                        site.worths().get(r.className()).worth(),
                        work,
                        c.latencyObjective(),
                        expires,
                        (long) work,
                        must,
                        false));
    }

    /** The module for a site's caches. */
    RouterEventQueue queue(String zone) {
        if (zone.equals(config.zone())) {
            return home;
        }
        return abroad.computeIfAbsent(zone, z -> {
            RouterEventQueue queue = queue(site.guestsAt(z), true);
            queue.tell(new QuotaChanged(0)); // What its cold caches bear is for its own clients.
            queue.tell(registry.whole());
            return queue;
        });
    }

    private RouterEventQueue queue(RouterSettings settings, boolean guest) {
        return new RouterEventQueue(
                new RoutingEngine(settings, config.seed()),
                guest,
                clock,
                queue -> context.runOnContext(v -> decide(queue)),
                this::forget);
    }

    RouterEventQueue home() {
        return home;
    }

    private void decide(RouterEventQueue queue) {
        if (stopped) {
            return;
        }
        if (queue.late() > LATE) {
            answerDue();
        }
        queue.nextBatch(batch -> handle(queue, batch));
    }

    // Their own timers may stand behind much other work.
    private void answerDue() {
        long now = clock.getAsLong();
        List.copyOf(requests.values()).forEach(x -> x.answerIfDue(now));
    }

    private void handle(RouterEventQueue queue, List<RouterEvent> batch) {
        try {
            for (RouterAction a : queue.router().handle(clock.getAsLong(), batch)) {
                act(queue, a);
            }
        } catch (RuntimeException e) {
            Log.error("decision.unexpected", e);
            for (RouterEvent event : batch) {
                if (event instanceof RequestArrived r && requests.containsKey(r.requestId())) {
                    requests.get(r.requestId()).abandon();
                } else if (event instanceof AttemptFinished o && requests.containsKey(o.requestId())) {
                    requests.get(o.requestId()).abandon();
                }
            }
        }
    }

    private void act(RouterEventQueue queue, RouterAction action) {
        if (action instanceof StartTimer t) {
            timers.set(Timers.millis(t.dueAt() - clock.getAsLong()), () -> queue.tell(new TimerFired(t.name())));
        } else if (action instanceof SendGossip t) {
            peers.send(t.router(), t.payload());
        } else if (action instanceof SendAttempt s) {
            with(s.requestId(), x -> x.send(s));
        } else if (action instanceof CancelAttempt c) {
            with(c.requestId(), x -> x.cancel(c.attempt()));
        } else if (action instanceof RejectRequest r) {
            with(r.requestId(), x -> x.refuse(r.retryAfter()));
        } else if (action instanceof FailRequest f) {
            with(f.requestId(), ProxiedRequest::fail);
        }
    }

    private void with(long id, Consumer<ProxiedRequest> then) {
        ProxiedRequest x = requests.get(id);
        if (x == null) {
            return;
        }
        try {
            then.accept(x);
        } catch (RuntimeException e) {
            Log.error("request.unexpected", e);
            x.abandon();
        }
    }
}
