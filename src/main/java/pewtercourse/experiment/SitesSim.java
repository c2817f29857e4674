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
 * Several sites on a virtual clock: the real decision module and the real parts that keep sites, around modelled caches,
 * links and clients in open loop. The same seed plays the same.
 */
final class SitesSim {
    /** What is done about a lost site. */
    enum Way {
        /** Nothing: each site's clients are its own. */
        ALONE,
        /** The nearest taker gets all, without a bound, and all comes back at once. */
        NEAREST,
        /** All takers, by what they bear, without a bound, and all comes back at once. */
        PROPORTIONAL,
        /** As built. */
        PLANNED,
        /** As built, but a loss is known in the instant in which it happens: what could be had at most. */
        SEEING
    }

    /** What goes wrong. */
    enum Trouble {
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

    /** Faults of the program itself, to see that checks find them. */
    enum Planted {
        NONE,
        RETURNS_AT_ONCE,
        NO_BOUND
    }

    static final long MS = 1_000, SECOND = 1_000_000;
    private static final long LOST_AT = 20 * SECOND, BACK_AT = 38 * SECOND, END = 90 * SECOND;
    private static final int SITES = 5, CACHES = 4, OBJECTS = 3_000;
    private static final double BEARS = 5; // Of one cache.
    // What its operators say that a site bears is what it serves in time, fills among it; and what it lends of the
    // rest.
    private static final double IN_TIME = 0.85, LENDS = 0.5;
    private static final CacheModel.Settings CACHE =
            new CacheModel.Settings(BEARS, 2.5, 700, 0.23, 16 * SECOND, 2, 1_500 * MS);
    private static final UpstreamModel.Settings UPSTREAM = new UpstreamModel.Settings(8, 0.75, 45 * MS, 60 * MS, 4);
    private static final long AGREED_IN = 6 * MS, TICK = 20 * MS, TAKEN_OVER_IN = 1_300 * MS;
    private static final RequestClass[] CLASSES = {
        new RequestClass(Idempotency.SAFE, DeduplicationScope.ALL, 0, 600 * MS, 2, 5 * SECOND, false, 0, false, false),
        new RequestClass(
                Idempotency.SAFE, DeduplicationScope.ALL, 0, 400 * MS, 2, 3 * SECOND, false, 8 * SECOND, false, false),
        new RequestClass(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 0, 3 * SECOND, false, 0, false, true)
    };
    private static final double[] WORTH = {2, 1, 3},
            SHARE = {0.54, 0.97, 1.0},
            MEAN_WORK = {300 * MS, 50 * MS, 30 * MS};
    private static final double PACE = 1; // KB for a millisecond of work.

    private record Event(long at, long order, Runnable run) {}

    /** What became of one client's request. */
    static final class Asked {
        final int site, cls;
        final long at, work, object, expires;
        long id;
        int attempts, effects;
        boolean answered, served;
        long answeredAt;

        Asked(int site, int cls, long at, long work, long object) {
            this.site = site;
            this.cls = cls;
            this.at = at;
            this.work = work;
            this.object = object;
            this.expires = at + CLASSES[cls].deadline();
        }

        long aim() {
            return CLASSES[cls].latencyObjective() + (long) (CLASSES[cls].transferAllowance() * work);
        }

        boolean inTime() {
            return served && answeredAt - at <= aim();
        }
    }

    private final class Cache {
        final long id;
        final int site;
        final CacheModel model = new CacheModel(CACHE);
        int life; // What was out when it died never ends.

        Cache(long id, int site) {
            this.id = id;
            this.site = site;
        }
    }

    private final class Desk {
        final Director of;
        final Router router;

        Desk(Director of, Router router) {
            this.of = of;
            this.router = router;
        }

        void tell(RouterEvent e) {
            if (of.up) {
                router.handle(now, List.of(e)).forEach(this::act);
            }
        }

        private void act(RouterAction a) {
            if (a instanceof StartTimer t) {
                int life = of.life;
                at(t.dueAt(), () -> {
                    if (of.life == life) {
                        tell(new TimerFired(t.name()));
                    }
                });
            } else if (a instanceof SendAttempt s) {
                of.send(this, s);
            } else if (a instanceof CancelAttempt c) {
                of.cancel(this, c);
            } else if (a instanceof RejectRequest r) {
                of.end(r.requestId(), false);
                if (this == of.home) {
                    of.siteObservations.recordRejection(now);
                }
            } else if (a instanceof FailRequest f) {
                of.end(f.requestId(), false);
            }
        }
    }

    private final class Director {
        final int site;
        final String name;
        final Map<Long, Asked> open = new HashMap<>();
        final Map<Long, long[]> out = new HashMap<>(); // By request: its attempt's number, a mark and its cache.
        OverflowRouter overflowRouter;
        SiteObserver siteObservations;
        FailoverController failoverController;
        Desk home;
        Map<Integer, Desk> abroad = new TreeMap<>();
        boolean up = true;
        int life;

        Director(int site) {
            this.site = site;
            this.name = "d" + site;
            start();
        }

        void start() {
            life++;
            up = true;
            open.clear();
            out.clear();
            abroad.clear();
            overflowRouter = new OverflowRouter(sites, siteName(site), 500 * MS, random.nextLong());
            siteObservations = new SiteObserver(siteName(site));
            failoverController = new FailoverController(sites);
            home = new Desk(this, new RoutingEngine(settings(site), random.nextLong()));
            home.tell(listed());
            int mine = life;
            at(now + random.nextInt((int) SECOND), () -> report(mine));
        }

        private void report(int mine) {
            if (!up || life != mine) {
                return;
            }
            Map<String, Integer> ready = new TreeMap<>();
            listedReady.forEach(c -> ready.merge(siteName(c.site), 1, Integer::sum));
            Map<String, SiteObservation> told = siteObservations.observe(now, sites, ready, Map.of("hub", 2));
            agree(() -> directors.forEach(d -> {
                if (d.up) {
                    d.failoverController.detector().observe(now, name, told);
                }
            }));
            at(now + SECOND, () -> report(mine));
        }

        private EndpointsChanged listed() {
            List<Endpoint> list = new ArrayList<>();
            listedReady.forEach(c -> list.add(new Endpoint(
                    c.id, c.site, EndpointRole.CACHE, 0, EndpointLifecycle.READY, 1, c.model.startedAt())));
            list.add(new Endpoint(900, SITES, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 1, 0));
            list.add(new Endpoint(901, SITES, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 1, 0));
            list.add(new Endpoint(999, SITES, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 1, 0));
            return new EndpointsChanged(EndpointUpdateKind.SNAPSHOT, list);
        }

        void relist() {
            home.tell(listed());
            abroad.values().forEach(d -> d.tell(listed()));
            overflowRouter.setOwnCachesListed(listedReady.stream().anyMatch(c -> c.site == site));
        }

        void arrive(Asked q) {
            q.id = nextId++;
            open.put(q.id, q);
            int life0 = life;
            at(q.expires - 40 * MS, () -> {
                if (life == life0 && open.containsKey(q.id)) {
                    overdue++;
                    end(q.id, false);
                }
            });
            siteObservations.recordRequest(now, q.work);
            boolean must = CLASSES[q.cls].idempotency() == Idempotency.NON_IDEMPOTENT;
            OverflowDecision c = overflowRouter.choose(
                    now,
                    new OverflowRequest(
                            q.object,
                            WORTH[q.cls],
                            q.work,
                            CLASSES[q.cls].latencyObjective(),
                            q.expires,
                            q.work,
                            must,
                            false));
            if (c.rejected()) {
                shed++;
                end(q.id, false);
                return;
            }
            int to = Integer.parseInt(c.site().orElseThrow().substring(1));
            if (to != site) {
                crossed++;
            }
            Desk desk = to == site
                    ? home
                    : abroad.computeIfAbsent(to, t -> {
                        Desk d = new Desk(
                                this,
                                new RoutingEngine(
                                        settings(site).forRemoteZone(t, List.of(CLASSES)), random.nextLong()));
                        d.tell(new QuotaChanged(0));
                        d.tell(listed());
                        return d;
                    });
            desk.tell(new RequestArrived(
                    q.id,
                    q.cls,
                    Long.toHexString(q.object),
                    0,
                    0,
                    q.work / (double) MS * PACE,
                    q.expires - 100 * MS,
                    false,
                    CLASSES[q.cls].uncacheable()));
        }

        void send(Desk desk, SendAttempt s) {
            Asked q = open.get(s.requestId());
            if (q == null) {
                return;
            }
            int number = q.attempts++;
            long began = now, mark = ++marks;
            out.put(s.requestId(), new long[] {number, mark, s.endpointId()});
            Cache c = byId.get(s.endpointId());
            boolean unreached = cutFrom.contains(site * 100 + c.site);
            boolean fills = s.fillSourceId() != s.endpointId();
            CacheModel.Answer a = unreached
                    ? new CacheModel.Answer(CacheModel.Outcome.DOWN, 0, 0)
                    : c.model.handleRequest(
                            now,
                            q.object,
                            q.work,
                            fills,
                            desk == home ? s.retentionRank() : Math.min(1, s.retentionRank()),
                            s.maxAge());
            boolean silent = unreached || c.model.isUp() == false && vanished.contains(c.site);
            int cacheLife = c.life;
            long slow = slowSite == c.site ? 3 : 1;
            long until = s.timeout() > 0 ? Math.min(q.expires - 40 * MS, now + s.timeout()) : q.expires - 40 * MS;
            switch (a.outcome()) {
                case DOWN ->
                    ended(
                            desk,
                            s,
                            number,
                            mark,
                            began,
                            now + (silent ? 400 * MS : MS),
                            silent ? AttemptResult.CONNECT_TIMEOUT : AttemptResult.REFUSED,
                            CacheStatus.UNKNOWN);
                case FULL -> ended(desk, s, number, mark, began, now + MS, AttemptResult.FULL, CacheStatus.UNKNOWN);
                case MISS -> ended(desk, s, number, mark, began, now + MS, AttemptResult.MISS, CacheStatus.UNKNOWN);
                default -> {
                    if (CLASSES[q.cls].uncacheable()) {
                        q.effects++;
                    }
                    boolean fill = a.outcome() == CacheModel.Outcome.FILL;
                    UpstreamModel.Fill up =
                            fill ? upstream[c.site].begin(q.object, CLASSES[q.cls].uncacheable()) : null;
                    long filling = fill ? up.durationMicros() + q.work / 3 : 0;
                    long at = now + slow * (a.durationMicros() + filling) + (c.site == site ? 0 : 8 * MS);
                    at(Math.min(at, until), () -> {
                        if (c.life == cacheLife) {
                            c.model.endTransfer();
                        }
                        if (fill) {
                            upstream[c.site].end(up);
                        }
                    });
                    if (at > until) {
                        ended(desk, s, number, mark, began, until, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN);
                    } else {
                        at(at, () -> {
                            boolean died = c.life != cacheLife;
                            close(
                                    desk,
                                    s,
                                    number,
                                    mark,
                                    began,
                                    died ? AttemptResult.RESET : AttemptResult.SERVED,
                                    died ? CacheStatus.UNKNOWN : fill ? CacheStatus.FILLED : CacheStatus.HIT);
                        });
                    }
                }
            }
        }

        private void ended(
                Desk desk,
                SendAttempt s,
                int number,
                long mark,
                long began,
                long at,
                AttemptResult end,
                CacheStatus note) {
            at(at, () -> close(desk, s, number, mark, began, end, note));
        }

        private void close(
                Desk desk, SendAttempt s, int number, long mark, long began, AttemptResult end, CacheStatus note) {
            long[] is = out.get(s.requestId());
            if (is == null || is[1] != mark) {
                return;
            }
            out.remove(s.requestId());
            Asked q = open.get(s.requestId());
            boolean over = q == null;
            Cache c = byId.get(s.endpointId());
            if (q != null) {
                siteObservations.recordAttempt(now, siteName(c.site), end, now - began > q.aim());
                if (end == AttemptResult.SERVED) {
                    end(s.requestId(), true);
                    over = true;
                }
            }
            AttemptOutcome ending = switch (end) {
                case SERVED -> AttemptOutcome.OK;
                case MISS -> AttemptOutcome.MISS;
                case FULL -> AttemptOutcome.OVERLOADED;
                case REFUSED, CONNECT_TIMEOUT -> AttemptOutcome.CONNECT_FAILED;
                case RESET -> AttemptOutcome.RESET;
                case CANCELLED -> AttemptOutcome.CANCELLED;
                default -> AttemptOutcome.TIMEOUT;
            };
            desk.tell(new AttemptFinished(s.requestId(), number, s.endpointId(), ending, now - began, over, note));
        }

        void cancel(Desk desk, CancelAttempt c) {
            long[] is = out.get(c.requestId());
            if (is != null && is[0] == c.attempt()) {
                // The module hears of it as of any end, in the next instant.
                Asked q = open.get(c.requestId());
                long mark = is[1];
                at(now, () -> {
                    long[] still = out.get(c.requestId());
                    if (still != null && still[1] == mark) {
                        out.remove(c.requestId());
                        desk.tell(new AttemptFinished(
                                c.requestId(),
                                (int) still[0],
                                still[2],
                                AttemptOutcome.CANCELLED,
                                0,
                                q == null,
                                CacheStatus.UNKNOWN));
                    }
                });
            }
        }

        void end(long id, boolean served) {
            Asked q = open.remove(id);
            if (q != null && !q.answered) {
                q.answered = true;
                q.served = served;
                q.answeredAt = now;
            } else if (q != null) {
                trouble = "two answers";
            }
        }
    }

    final Way way;
    final Trouble kind;
    final Sites sites;
    final List<Asked> asked = new ArrayList<>();
    final Map<Long, Integer> phases = new TreeMap<>();
    private final Planted planted;
    private final Random random;
    private final RandomGenerator draws;
    private final LogNormalDistribution[] sizes = new LogNormalDistribution[2];
    private final ZipfDistribution popularity;
    private final PriorityQueue<Event> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final List<Cache> caches = new ArrayList<>();
    private final Map<Long, Cache> byId = new HashMap<>();
    private final List<Cache> listedReady = new ArrayList<>();
    private final List<Director> directors = new ArrayList<>();
    private final Set<Integer> vanished = new HashSet<>(), cutFrom = new HashSet<>();
    private final UpstreamModel[] upstream = new UpstreamModel[SITES];
    private final double[] load = new double[SITES];
    private FailoverState failover = new FailoverState();
    private int failoverController;
    long now, nextId = 1, entry, shed, crossed, overdue, declaredAt = -1, wholeAt = -1, falseAlarms;
    private long order, marks, controllerFrom;
    private int slowSite = -1;
    String trouble;

    SitesSim(long seed, Way way, Trouble kind, Planted planted) {
        this.way = way;
        this.kind = kind;
        this.planted = planted;
        this.random = new Random(seed);
        this.draws = new Well19937c(seed);
        this.popularity = new ZipfDistribution(draws, OBJECTS, 0.9);
        for (int i = 0; i < 2; i++) {
            double sigma = 0.6;
            sizes[i] = new LogNormalDistribution(draws, Math.log(MEAN_WORK[i]) - sigma * sigma / 2, sigma);
        }
        TreeMap<String, Site> all = new TreeMap<>();
        for (int i = 0; i < SITES; i++) {
            load[i] = (0.5 + 0.2 * random.nextDouble()) * BEARS * CACHES;
        }
        for (int i = 0; i < SITES; i++) {
            List<Site.FailoverTarget> takers = new ArrayList<>();
            for (int d = 1; d < SITES; d++) {
                int step = Math.min(d, SITES - d);
                takers.add(new Site.FailoverTarget(siteName((i + d) % SITES), step));
            }
            takers.sort((a, b) -> Double.compare(a.distance(), b.distance()));
            all.put(
                    siteName(i),
                    new Site(siteName(i), "hub", Set.of("d" + i), IN_TIME * BEARS * CACHES, LENDS, 0.5, 0, takers));
        }
        boolean steps = way == Way.PLANNED || way == Way.SEEING;
        this.sites = new Sites(
                all,
                0.5,
                new FailoverTiming(
                        1_500 * MS,
                        2 * SECOND,
                        120 * SECOND,
                        1_500 * MS,
                        steps && planted != Planted.RETURNS_AT_ONCE ? List.of(0.15, 0.3, 0.5, 0.75, 1.0) : List.of(1.0),
                        3 * SECOND));
        for (int s = 0; s < SITES; s++) {
            upstream[s] = new UpstreamModel(UPSTREAM); // The part of it that this site's link and hub have.
            for (int c = 0; c < CACHES; c++) {
                Cache x = new Cache(1 + s * 10 + c, s);
                caches.add(x);
                byId.put(x.id, x);
                listedReady.add(x);
            }
        }
        for (int s = 0; s < SITES; s++) {
            directors.add(new Director(s));
        }
        failoverController = kind == Trouble.WHOLE ? 0 : random.nextInt(SITES);
        for (int s = 0; s < SITES; s++) {
            ask(s);
        }
        at(TICK, this::keep);
        script();
    }

    private static String siteName(int i) {
        return "s" + i;
    }

    private static RouterSettings settings(int site) {
        int[] seats = new int[SITES + 1];
        java.util.Arrays.fill(seats, 0, SITES, 1);
        return new RouterSettings(
                new RouterTopology(
                        site, SITES, site, Arrays.stream(seats).boxed().toList()),
                List.of(CLASSES),
                new Bandwidth(PACE * 1_000, 0),
                new RouterFeatures(true, false, false, false, true),
                new RetryLimits(500 * MS, 6),
                new UpstreamFeatures(true, false, SiblingFillPolicy.OWN_ZONE, CacheStatusDetail.HITS),
                new SlowStartSettings(
                        new SlowStart(0.23, 16 * SECOND, 2), new SlowStart(0.065, 21 * SECOND, 2), 1_500 * MS),
                6 * SECOND);
    }

    void at(long time, Runnable run) {
        queue.add(new Event(Math.max(now, time), order++, run));
    }

    private void agree(Runnable then) {
        at(now + AGREED_IN, then);
    }

    // ---- Clients: in open loop, their own site's director, or another's where that is dead ----

    private void ask(int site) {
        double busy = 1 + 0.15 * Math.sin(now / 1e6 / 90 * Math.PI); // The busiest minute is in the middle.
        double meanWork =
                SHARE[0] * MEAN_WORK[0] + (SHARE[1] - SHARE[0]) * MEAN_WORK[1] + (1 - SHARE[1]) * MEAN_WORK[2];
        double perS = load[site] / 1.12 * busy / meanWork * 1e6;
        at(now + (long) (-Math.log(1 - random.nextDouble()) / perS * 1e6), () -> {
            double u = random.nextDouble();
            int cls = u < SHARE[0] ? 0 : u < SHARE[1] ? 1 : 2;
            long work = cls == 2 ? (long) MEAN_WORK[2] : (long) Math.min(3e6, Math.max(5e3, sizes[cls].sample()));
            long object = StableHash.of(cls == 2 ? "o" + nextId : cls + "/" + popularity.sample());
            boolean odd = now > LOST_AT && now < BACK_AT + 10 * SECOND && cls == 0;
            if (kind == Trouble.SCAN && odd && random.nextDouble() < 0.2) {
                object = random.nextLong(); // Wanted once.
            } else if (kind == Trouble.OVERSIZED && odd && random.nextDouble() < 0.02) {
                work = 12 * work;
                object = StableHash.of("large" + random.nextInt(5));
            }
            Asked q = new Asked(site, cls, now, work, object);
            asked.add(q);
            Director d = directors.get(site);
            for (int i = 1; !d.up && i < SITES; i++) {
                d = directors.get((site + i) % SITES);
            }
            if (d.up) {
                d.arrive(q);
            }
            ask(site);
        });
    }

    // ---- The controller of the sites ----

    private void keep() {
        at(now + TICK, this::keep);
        if (!directors.get(failoverController).up) {
            for (int i = 0; i < SITES; i++) {
                if (directors.get(i).up) {
                    failoverController = i;
                }
            }
            controllerFrom = now + TAKEN_OVER_IN;
        }
        Director d = directors.get(failoverController);
        if (way == Way.ALONE || now < controllerFrom || !d.up) {
            return;
        }
        Set<String> absent = new TreeSet<>();
        directors.forEach(x -> {
            if (!x.up) {
                absent.add(x.name);
            }
        });
        for (SiteStatusChange o : d.failoverController.proposeChanges(now, failover, absent)) {
            if (way != Way.SEEING || o.phase() == SiteStatus.Phase.RETURNING || o.phase() == SiteStatus.Phase.WHOLE) {
                declare(o);
            }
        }
        FailoverPlanRequest q = d.failoverController.requestPlan(now, failover).orElse(null);
        if (q != null) {
            FailoverPlan plan = plan(q);
            d.failoverController.planComputed(now, plan);
            FailoverPlan changed =
                    d.failoverController.takeComputedPlan(failover).orElse(null);
            if (changed != null) {
                agree(() -> {
                    failover.setPlan(changed);
                    follow();
                });
            }
        }
    }

    private void declare(SiteStatusChange o) {
        agree(() -> {
            if (failover.changeStatus(++entry, o)) {
                boolean lost = o.phase() == SiteStatus.Phase.LOST;
                boolean dead = caches.stream()
                        .filter(c -> siteName(c.site).equals(o.site()))
                        .noneMatch(c -> c.model.isUp());
                if (lost && declaredAt < 0) {
                    declaredAt = now;
                }
                falseAlarms += lost && !dead && o.flaps() == 0 ? 1 : 0;
                if (o.phase() == SiteStatus.Phase.WHOLE && declaredAt >= 0) {
                    wholeAt = now;
                }
                follow();
            }
        });
    }

    private void follow() {
        directors.forEach(x -> {
            if (x.up) {
                x.failoverController.trackChanges(now, failover);
                x.overflowRouter.follow(now, failover, 1);
            }
        });
    }

    private FailoverPlan plan(FailoverPlanRequest q) {
        if (way == Way.PLANNED || way == Way.SEEING) {
            FailoverPlan p = new FailoverPlanner().plan(sites, q);
            return planted == Planted.NO_BOUND ? unbounded(p, q.lost()) : p;
        }
        TreeMap<String, java.util.SortedMap<String, FailoverPlan.Distribution>> cases = new TreeMap<>();
        for (String s : sites.byName().keySet()) {
            Set<String> lost = new TreeSet<>(q.lost());
            lost.add(s);
            java.util.SortedMap<String, FailoverPlan.Distribution> shares = new TreeMap<>();
            for (String l : lost) {
                List<FailoverPlan.Allocation> parts = new ArrayList<>();
                for (Site.FailoverTarget t : sites.byName().get(l).failoverTargets()) {
                    if (!lost.contains(t.site()) && (way == Way.PROPORTIONAL || parts.isEmpty())) {
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

    // ---- What goes wrong ----

    private void script() {
        int other = 1 + random.nextInt(SITES - 1);
        switch (kind) {
            case ONE -> lose(0, LOST_AT, BACK_AT, false);
            case TWO -> {
                lose(0, LOST_AT, BACK_AT, false);
                lose(other, LOST_AT + 4 * SECOND, BACK_AT + 3 * SECOND, false);
            }
            case WHOLE -> lose(0, LOST_AT, BACK_AT, true);
            case FLAPS -> {
                lose(0, LOST_AT, BACK_AT, false);
                lose(0, BACK_AT + 6 * SECOND, BACK_AT + 12 * SECOND, false);
            }
            case SEEN_BY_HALF -> {
                // Only directors of other sites lose sight of it: nothing is to be declared.
                at(LOST_AT, () -> {
                    cutFrom.add(100 + 0);
                    cutFrom.add(200 + 0);
                });
                at(BACK_AT, cutFrom::clear);
            }
            case CACHES_VANISH -> {
                vanished.add(0);
                lose(0, LOST_AT, BACK_AT, false);
            }
            case SLOW -> {
                at(LOST_AT, () -> slowSite = 0);
                at(BACK_AT, () -> slowSite = -1);
            }
            case COPIES_VOID -> {
                lose(0, LOST_AT, BACK_AT, false);
                at(BACK_AT + 7 * SECOND, () -> caches.forEach(c -> c.model.discardCopies()));
            }
            case SCAN, OVERSIZED -> lose(0, LOST_AT, BACK_AT, false);
            case LIST_SHRINKS -> {
                // For some seconds half of a site that is well is missing from all lists; then another is lost.
                at(LOST_AT - 12 * SECOND, () -> {
                    listedReady.removeIf(c -> c.site == 2 && c.id % 2 == 0);
                    directors.forEach(Director::relist);
                });
                at(LOST_AT - 8 * SECOND, () -> listAsIs(2, true));
                lose(0, LOST_AT, BACK_AT, false);
            }
            default -> {
                lose(0, LOST_AT, BACK_AT, false);
                lose(1, LOST_AT + 8 * SECOND, BACK_AT, false); // Its nearest taker, while it bears the other's load.
            }
        }
    }

    private void lose(int site, long from, long to, boolean directorToo) {
        at(from, () -> {
            each(site, c -> {
                c.model.kill();
                c.life++;
            });
            if (directorToo) {
                Director d = directors.get(site);
                d.up = false;
                d.life++;
                d.open.clear();
            }
            if (way == Way.SEEING) {
                String lost = siteName(site);
                long expected = failover.status(lost).lastChangeIndex();
                failover.changeStatus(
                        ++entry, new SiteStatusChange(lost, SiteStatus.Phase.LOST, SiteHealth.CACHES, 0, 0, expected));
                declaredAt = declaredAt < 0 ? now : declaredAt;
                follow();
            }
        });
        at(from + 2 * SECOND + random.nextInt((int) (2 * SECOND)), () -> list(site, false));
        at(to, () -> {
            each(site, c -> {
                c.model.start(now);
                c.life++;
            });
            if (directorToo) {
                directors.get(site).start();
                follow();
            }
        });
        at(to + SECOND + random.nextInt((int) SECOND), () -> list(site, true));
    }

    private void each(int site, java.util.function.Consumer<Cache> then) {
        caches.stream().filter(c -> c.site == site).forEach(then);
    }

    private void list(int site, boolean ready) {
        boolean alive = caches.stream().anyMatch(c -> c.site == site && c.model.isUp());
        if (alive != ready) {
            return; // It came back, or went, before the list told.
        }
        listAsIs(site, ready);
    }

    private void listAsIs(int site, boolean ready) {
        each(site, c -> {
            listedReady.remove(c);
            if (ready) {
                listedReady.add(c);
            }
        });
        listedReady.sort((a, b) -> Long.compare(a.id, b.id));
        directors.forEach(d -> {
            if (d.up) {
                d.relist();
            }
        });
    }

    // ---- What came of it ----

    SitesSim play() {
        while (!queue.isEmpty() && queue.peek().at() <= END && trouble == null) {
            Event e = queue.poll();
            now = e.at();
            e.run().run();
        }
        return this;
    }

    int falls() {
        return caches.stream().mapToInt(c -> c.model.coldOverloadCount()).sum();
    }

    int effectsTwice() {
        return (int) asked.stream().filter(q -> q.effects > 1).count();
    }

    /** Requests of living directors that got no answer in their time. */
    long unanswered() {
        return asked.stream()
                        .filter(q -> !q.answered && q.id > 0 && q.expires < END)
                        .count()
                - abandoned();
    }

    // Those that a dying director held.
    private long abandoned() {
        return kind != Trouble.WHOLE
                ? 0
                : asked.stream()
                        .filter(q -> !q.answered && q.id > 0 && q.expires < END && q.site == 0 && q.at < LOST_AT)
                        .count();
    }

    /** Worth answered in time over worth asked for, of requests in this time, of one site or (-1) all. */
    double served(long from, long to, int site) {
        double got = 0, all = 0;
        for (Asked q : asked) {
            if (q.at >= from && q.at < to && (site < 0 || q.site == site)) {
                all += WORTH[q.cls];
                got += q.inTime() ? WORTH[q.cls] : 0;
            }
        }
        return all == 0 ? 1 : got / all;
    }

    /** The worst ten seconds of the incident, of all sites. */
    double worst(long from, long to) {
        double worst = 1;
        for (long t = from; t + 10 * SECOND <= to; t += SECOND) {
            worst = Math.min(worst, served(t, t + 10 * SECOND, -1));
        }
        return worst;
    }

    static long lostAt() {
        return LOST_AT;
    }

    static long backAt() {
        return BACK_AT;
    }

    static long incidentEnds() {
        return END - 10 * SECOND;
    }
}
