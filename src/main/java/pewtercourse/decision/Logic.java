package pewtercourse.decision;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * All decisions of one router. Its types, events and actions are in the files beside this one. The sections follow a
 * request: arrival and count, choice of cache, choice of source, sending, outcome, further attempt or
 * final answer, then the tables behind them. docs/design.md says what is kept of the paper and when an
 * exception acts.
 */
public final class Logic implements Router {
    // ---- Tuned values: times in microseconds ----
    // Counts halve this often: long enough to tell popular objects at a few requests a second.
    private static final long HALVING = 5_000_000;
    private static final int COUNT_MAX = 1 << 12; // Accesses kept in a count at most.
    // Share of one cache's part of the counted accesses that is worth one more cache for an object.
    private static final double STEP_SHARE = 0.10;
    // Least accesses of a step, so that a fresh router doesn't spread what it knows little of.
    private static final double STEP_LEAST = 4;
    // Caches along the order that an object may grow to; one cache of the zone always stays out.
    private static final int COPIES_MAX = 3;
    // Aged count over log2 of KB from which a copy gets rank 2, and rank 3.
    private static final double RANK_2 = 0.25, RANK_3 = 1.0;
    // A belief ages out after this: about what an unused copy lives in a busy cache.
    private static final long HINT_AGE = 12_000_000;
    private static final int TABLE_MAX = 20_000; // Entries that a table remembers: some minutes of a router.
    // Housekeeping interval: fine against the shortest aims (hundreds of milliseconds).
    private static final long TICK = 20_000;
    // Counts are reported this often, or when one object has this many unreported accesses.
    private static final long REPORT_PERIOD = 2_000_000;
    private static final int REPORT_THRESHOLD = 8, MESSAGE_MAX = 256, ENTRY_BYTES = 10;
    private static final String SWEEP = "sweep", WATCH = "watch";
    private static final byte REPORT = 1, SUMS = 2;
    // Share of a cold member's budget that is used: weights and means are rough.
    private static final double COLD_SHARE = 0.8;
    // Transfers at once that a zone's caches bear, in those that its link for fills carries: a link is a
    // little wider than what its caches miss at full load, under a third; halved, as it is a guess. A zone of
    // fewer caches than LINK_FOR has a link wider by the root of their ratio.
    private static final double LINK_BEARS = 1.4, LINK_FOR = 8, CACHES_LEAST = 3;
    // Time over which the work borne by a member is averaged.
    private static final double BORNE_OVER = 4_000_000;
    // What is known of how much a warm member bears fades by this in a tick, so by half in a minute. Guards
    // against an outage, in which nothing is served until the list tells of it, being taken for weakness.
    private static final double BORE_FADES = Math.pow(0.5, TICK / 60e6);
    // A cache with more attempts out than this multiple of the mean for its size, and this many, is skipped.
    private static final double LOAD_BOUND = 1.5, LOAD_FLOOR = 3;
    private static final double LARGE_LEAST = 0.2; // Share of a gate that is open to a request of any size.
    // An answer is slow that took this share of its aim beyond its transfer; a gate is strained by this share
    // of slow ones; while it isn't, this multiple of the mean size is not yet large.
    private static final double SLOW = 0.1, STRAIN_GAIN = 0.05, STRAINED = 0.3, LARGE_EASY = 4;
    // Attempts in flight that all seats of a zone let through at their start, and at least. A seat starts
    // with its part by the root of the seats: its share of the zone's requests varies by chance.
    private static final double GATE_START = 16, GATE_LEAST = 2;
    // A gate widens by this for an answer well inside its aim, and narrows by this share times the root of
    // the seats, as each sees only its part of the late answers; at most by DOWN_MOST, once a pause.
    private static final double GATE_UP = 0.2, GATE_DOWN = 0.1, DOWN_MOST = 0.4;
    private static final long GATE_PAUSE = 100_000;
    private static final double GATE_NEAR = 0.5; // It widens only while this share of it is in use.
    // An answer within this share of its aim is well inside it.
    private static final double WELL_INSIDE = 0.7;
    // An attempt is overdue after its usual time, at its member's pace, this many times over, and this floor:
    // a lost answer is repeated while its aim still runs. Usual times count this much for the way.
    private static final double OVERDUE = 2.5, USUAL_LEAST = 40_000;
    private static final long OVERDUE_FLOOR = 100_000;
    // Share of overdue attempts never answered, at members that answer others, from which answers count as
    // lost, not slow; an attempt is then due after this share of its time, and made again for late worth too.
    private static final double LOST_SEEN = 0.5, LOST_DUE = 0.5;
    private static final double LAG = 2.5; // Times slower than its peers: a late answer is then a failure.
    // Weight of the newest sample in running means of fills, and of a member's pace and failures.
    private static final double GAIN = 0.1, HEALTH_GAIN = 0.2;
    // Share of failures from which a member is left alone, first wait before a trial, longest wait.
    private static final double FAIL_LIMIT = 0.45;
    // Share of failures from which a member gets no request that can't be made twice, if another fails less.
    private static final double FAIL_SEEN = 0.1;
    private static final long WAIT_FIRST = 1_000_000, WAIT_MAX = 8_000_000;
    // Further attempts earn from first ones at this rate, up to this many; they don't feed an overload.
    private static final double RETRY_SHARE = 0.2, RETRY_MAX = 20;
    // Advice to a refused client, as a share of its aim: so soon that it may yet be served inside it. Spread
    // up to twice that, so that clients don't come back at once.
    private static final double HOLD_OFF = 0.25;

    // ---- Tables ----
    private final class Node {
        Endpoint is;
        final Gate gate = new Gate();
        long lastAnswer, wait, until, borneAt;
        double failing, borne, score, spentSum, pace = 1; // pace: time of its answers over the usual.
        boolean trial;
        // Of a cold member: time and work of what it was sent of late.
        final ArrayDeque<double[]> spent = new ArrayDeque<>();
    }

    // How many attempts may be out at once, learned from whether answers came inside their aim. Guards
    // against overload of a cache, of the links and of the sources behind: past the limit more work only
    // makes all late. Harm: after a trouble that made answers late for another reason it needs some answers
    // to widen again.
    private final class Gate {
        double limit = GATE_START / Math.sqrt(seats), out, strain; // strain: share of slow answers.
        long narrowed;

        // The larger a request for its class, the sooner it is shed: the room serves more of the others.
        // Without strain only what is far larger: the gate follows its use, so that the large would be turned
        // away for good where all goes well.
        boolean open(double size) {
            double large = strain > STRAINED ? 1 : LARGE_EASY;
            return out < limit * Math.max(LARGE_LEAST, Math.min(1, large / size));
        }

        void learn(boolean inside, boolean late) {
            if (late && now - narrowed > GATE_PAUSE) {
                narrowed = now;
                double down = Math.min(DOWN_MOST, GATE_DOWN * Math.sqrt(seats));
                limit = Math.max(GATE_LEAST / seats, limit * (1 - down));
            } else if (inside && out + 1 > GATE_NEAR * limit) {
                limit += GATE_UP;
            }
        }
    }

    private static final class Try {
        Node node, source;
        long at;
        double usual; // Time that it should take when all is well.
        double fill; // How likely it fills from outside, as the gate of fills counts it.
        boolean outside, sibling, done, quiet;
    }

    private static final class Open {
        RequestArrived asks;
        RequestClass cls;
        long object, piece, ranAt, arrived;
        double work;
        final List<Try> tries = new ArrayList<>(2);
        final List<Node> failed = new ArrayList<>(2), failedSources = new ArrayList<>(2);
        final List<Node> accused = new ArrayList<>(2); // Caches that answered with an error.
        final List<Node> doubted = new ArrayList<>(2); // The parents that these filled from.
        int live, turn;
        // The member of the first attempt that may have run or may yet run.
        Node ran;
        boolean streaming, parentOnly, over, reached; // reached: some attempt came to a cache.
    }

    private static final class Tally {
        int own, unsent, shared, turn, parts = 1;
        long epoch, batch;
    }

    // A table that forgets what was used longest ago once it is full.
    private static final class Table<V> extends LinkedHashMap<Long, V> {
        private static final long serialVersionUID = 1L;

        Table() {
            super(256, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
            return size() > TABLE_MAX;
        }
    }

    private static final Comparator<Node> BY_SCORE = (a, b) ->
            a.score != b.score ? Double.compare(b.score, a.score) : Long.compare(a.is.id(), b.is.id());

    private RouterSettings set;
    private int seats; // Routers of the own zone.
    private final Random random;
    private final Map<Long, Node> nodes = new LinkedHashMap<>();
    private List<Node> caches = new ArrayList<>();
    private List<Node> parents = new ArrayList<>();
    private Node origin;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final Table<Tally> counts = new Table<>();
    private final Table<Tally> owned = new Table<>();
    private final Table<Tally> unreported = new Table<>();
    private final Table<Long> beliefs = new Table<>(); // When a member was last known to hold a part.
    private final Map<Long, Long> purges = new LinkedHashMap<>();
    private double[] classWork = {}; // By the place of the class, as the next.
    private long[] classSeen = {};
    private final Tally all = new Tally();
    private final double[] bore = new double[2]; // What a warm cache, and a warm parent, bore of late.
    private double retries = RETRY_MAX, lost; // lost: share of overdue attempts never answered.
    private final Gate fills;
    private double fillWait = 50_000;
    // Share of the attempts not believed to hit that did fill: the fewer a router's beliefs, the more hit.
    private double fillShare = 0.5;
    private long batch, nextReport, now, lacked = Long.MIN_VALUE / 2; // lacked: a cold member had no room.
    private double part = 1; // Of what a router may send to cold members, by itself or by agreement.
    private boolean started;
    private int mostCaches;
    private List<RouterAction> actions = new ArrayList<>();

    public Logic(RouterSettings settings, long seed) {
        random = new Random(seed);
        configure(settings);
        fills = new Gate();
    }

    // At the start and anew: what was learned stays. Requests under way keep the class that they came with.
    private void configure(RouterSettings settings) {
        set = settings;
        seats = settings.topology().routersInZone();
        classWork = Arrays.copyOf(classWork, settings.classes().size());
        classSeen = Arrays.copyOf(classSeen, settings.classes().size());
    }

    @Override
    public List<RouterAction> handle(long time, List<RouterEvent> events) {
        now = time;
        batch++;
        actions = new ArrayList<>();
        if (!started) {
            started = true;
            nextReport = now + REPORT_PERIOD + random.nextInt((int) REPORT_PERIOD);
            if (!set.upstream().pushedEndpointUpdates()) {
                actions.add(new WatchEndpoints());
            }
            actions.add(new StartTimer(SWEEP, now + TICK));
        }
        for (RouterEvent e : events) {
            if (e instanceof RequestArrived r) {
                arrive(r);
            } else if (e instanceof AttemptFinished o) {
                outcome(o);
            } else if (e instanceof TimerFired t && t.name().equals(SWEEP)) {
                sweep();
            } else if (e instanceof TimerFired) {
                actions.add(new WatchEndpoints());
            } else if (e instanceof EndpointsChanged l) {
                listed(l);
            } else if (e instanceof SettingsChanged c) {
                configure(c.settings());
            } else if (e instanceof QuotaChanged p) {
                part = p.factor();
            } else if (e instanceof ContentPurged p) {
                purged(p);
            } else if (e instanceof GossipReceived m) {
                message(m);
            } else if (e instanceof StreamStarted b && open.containsKey(b.requestId())) {
                open.get(b.requestId()).streaming = true;
            } else if (e instanceof ClientDisconnected g && open.containsKey(g.requestId())) {
                close(open.get(g.requestId()));
            }
        }
        return actions;
    }

    @Override
    public RouterStatus status() {
        return new RouterStatus((int) nodes.values().stream().filter(n -> n.until > 0).count(),
                now - lacked < set.slowStart().overloadWindow());
    }

    // ---- A request arrives: it is counted, and planned ----
    private void arrive(RequestArrived q) {
        RequestClass cls = set.classes().get(q.requestClass());
        long object = hash(q.object());
        double work = classWork[q.requestClass()];
        if (q.sizeKb() > 0 && set.bandwidth().clientKbPerSecond() > 0) {
            work = q.sizeKb() / set.bandwidth().clientKbPerSecond() * 1e6;
        } else if (work == 0) {
            work = cls.latencyObjective() / 2.0;
        }
        long n = Math.min(++classSeen[q.requestClass()], 500);
        classWork[q.requestClass()] += (work - classWork[q.requestClass()]) / n;
        Open r = new Open();
        r.asks = q;
        r.cls = cls;
        r.object = object;
        r.piece = mix(object + q.segment());
        r.work = work;
        r.arrived = now;
        if (open.putIfAbsent(q.requestId(), r) != null) {
            return;
        }
        retries = Math.min(RETRY_MAX, retries + RETRY_SHARE);
        count(r);
        advance(r);
    }

    // One more access. An object gains at most one in a batch: what a stall has piled up comes as one batch
    // and would lift quiet objects past a step (it also damps a client that asks in a storm; a true surge
    // of one object is counted a little late). Marked repeats are not accesses.
    private void count(Open r) {
        Tally t = tally(counts, r.object);
        t.parts = Math.max(t.parts, r.asks.segment() + 1);
        r.turn = r.cls.segmented() ? r.asks.segment() : t.turn++ & COUNT_MAX - 1;
        if (t.batch == batch || r.asks.clientRetry()) {
            return;
        }
        t.batch = batch;
        if (t.own < COUNT_MAX) {
            t.own++;
            t.unsent++;
        }
        age(all).own++;
        if (set.features().gossipEnabled() && set.topology().routers() > 1) {
            unreported.put(r.object, t);
            nextReport = t.unsent >= REPORT_THRESHOLD ? now : nextReport;
        }
    }

    private Tally tally(Table<Tally> table, long object) {
        return age(table.computeIfAbsent(object, o -> new Tally()));
    }

    private Tally age(Tally t) {
        int shift = (int) Math.min(31, now / HALVING - t.epoch);
        t.own >>= shift;
        t.shared >>= shift;
        t.epoch = now / HALVING;
        return t;
    }

    // Accesses in the zone: what this router saw and, but for the first, which tells nothing of others, as
    // many at each further seat; or the zone's part of what the owner of the count last told.
    private double accesses(Tally t) {
        double own = t.own + Math.max(0, t.own - 1) * (seats - 1.0);
        return Math.max(own, (double) t.shared * seats / Math.max(1, set.topology().routers()));
    }

    private int width(Tally t) {
        double step = Math.max(STEP_LEAST, STEP_SHARE * age(all).own * seats / Math.max(1, caches.size()));
        int most = Math.min(COPIES_MAX, caches.size() - 1);
        return Math.max(1, Math.min(most, 1 + (int) (accesses(t) * Math.min(t.parts, COPIES_MAX) / step)));
    }

    private static boolean kept(Open r) {
        return !r.cls.uncacheable() && !r.asks.write();
    }

    private int rank(Open r) {
        if (!kept(r)) {
            return 0;
        }
        Tally t = tally(counts, r.object);
        double size = r.asks.sizeKb() > 0 ? Math.log(4 + r.asks.sizeKb()) / Math.log(2) : 8;
        double value = accesses(t) / t.parts / size;
        return value >= RANK_3 ? 3 : value >= RANK_2 ? 2 : 1;
    }

    // ---- Choice of the cache: along the object's order, as far as its count reaches ----
    private Node pickCache(Open r) {
        sort(caches, r.object);
        int reach = width(tally(counts, r.object));
        int turn = r.turn % reach;
        double out = 0, total = 0;
        for (Node c : caches) {
            out += c.gate.out;
            total += size(c);
        }
        for (int pass = 0; pass < 3; pass++) {
            for (int i = 0; i < caches.size(); i++) {
                Node c = caches.get(i < reach ? (turn + i) % reach : i);
                if (!allowed(r, c) || kept(r) && !c.gate.open(large(r)) || !coldHasRoom(c, r)) {
                    continue;
                }
                boolean crowded = c.gate.out > LOAD_FLOOR && c.gate.out > LOAD_BOUND * out * size(c) / total;
                boolean well = !r.failed.contains(c) && healthy(c) && (pass == 1 || !crowded && sure(r, c));
                if (pass == 2 ? lastResort(r, c) : well) {
                    return c;
                }
            }
        }
        return null;
    }

    // Where all look ill, each gets as many at once as its share of answers lets hope for, at least one; and
    // no request goes to one a third time. Guards against all routers' waiting attempts toppling a dead cache
    // as it returns, and against asking one that turns all away on and on while the others have no room.
    private static boolean lastResort(Open r, Node c) {
        return Collections.frequency(r.failed, c) < 2
                && (c.until == 0 || c.gate.out < Math.max(1, c.gate.limit * (1 - c.failing)));
    }

    private double large(Open r) {
        return r.work / classWork[r.asks.requestClass()];
    }

    private double size(Node c) {
        return set.upstream().weightsAreCapacities() && c.is.weight() > 0 ? c.is.weight() : 1;
    }

    // Rendezvous hashing: every router gets the same order, and a change of the list moves only what it
    // must.
    private void sort(List<Node> list, long object) {
        for (Node n : list) {
            n.score = -size(n) / Math.log(((mix(object ^ mix(n.is.id())) >>> 11) + 1) * 0x1.0p-53);
        }
        list.sort(BY_SCORE);
    }

    // ---- Choice of the source: a believed sibling, the hashed parent, the origin if no parent is up ----
    private Node pickSibling(Open r, Node target) {
        if (set.upstream().siblingFillPolicy() == SiblingFillPolicy.NONE || r.parentOnly || !kept(r) || believes(r, target)) {
            return null;
        }
        for (Node c : caches) {
            if (c != target && believes(r, c) && healthy(c) && c.until == 0 && coldHasRoom(c, r)) {
                return c;
            }
        }
        return null;
    }

    private Node pickParent(Open r) {
        sort(parents, r.object);
        for (int pass = 0; pass < 3; pass++) {
            for (Node p : parents) {
                boolean usable = healthy(p) && coldHasRoom(p, r);
                if (usable && (pass == 2 || !r.failedSources.contains(p)) && (pass > 0 || sure(r, p))) {
                    return p;
                }
            }
        }
        return origin;
    }

    // What can't be made twice is no trial, and goes by a member that fails now and then only if all do.
    private static boolean sure(Open r, Node n) {
        return r.cls.idempotency() == Idempotency.SAFE || n.until == 0 && n.failing < FAIL_SEEN;
    }

    // Whether a parent fails while others don't: what fails at all of them is the origin's fault.
    private boolean failsAlone(Node parent) {
        return parents.stream().anyMatch(p -> p != parent && p.until == 0 && p.failing < FAIL_LIMIT / 2);
    }

    // ---- Sending ----
    private void advance(Open r) {
        if (r.over || r.streaming) {
            return;
        }
        if (now + (long) r.work > r.asks.expiresAt() || r.tries.size() >= set.retry().maxAttempts()) {
            giveUp(r);
            return;
        }
        Node target = pickCache(r);
        if (target != null) {
            Node sibling = pickSibling(r, target);
            // What runs at the origin is rare and small and can't be served otherwise: it passes the gates,
            // which guard against the many. Harm: it adds its few to a crowded link.
            boolean mayFill = !kept(r) || fills.open(large(r)) || believes(r, target);
            Node source = sibling != null ? sibling : mayFill ? pickParent(r) : null;
            send(r, target, source == null ? target : source, sibling != null);
            return;
        }
        // No cache may be used: where that is allowed the request passes them by, until one is back.
        Node above = set.features().cacheBypassAllowed() && caches.isEmpty() && fills.open(large(r)) ? pickParent(r) : null;
        if (above != null && allowed(r, above)) {
            send(r, above, origin != null ? origin : above, false);
        } else {
            giveUp(r);
        }
    }

    private void send(Open r, Node target, Node source, boolean sibling) {
        Try t = new Try();
        t.node = target;
        t.source = source;
        t.at = now;
        t.sibling = sibling;
        t.outside = source != target && !sibling && !believes(r, target);
        t.usual = USUAL_LEAST + r.work + (t.outside ? fillWait : 0);
        r.tries.add(t);
        r.live++;
        if (r.ran == null) {
            r.ran = target;
            r.ranAt = now;
        }
        charge(target, r);
        if (source != target && source.is.role() != EndpointRole.ORIGIN) {
            charge(source, r);
        }
        target.gate.out++;
        t.fill = t.outside ? fillShare : 0;
        fills.out += t.fill;
        target.trial |= target.until > 0;
        source.trial |= t.outside && source.until > 0;
        long age = oldest(r);
        boolean cut = r.cls.idempotency() == Idempotency.SAFE && !set.features().attemptCancellation() && due(t) + r.work < r.asks.expiresAt();
        long timeout = cut ? due(t) - now : 0;
        actions.add(new SendAttempt(r.asks.requestId(), target.is.id(), timeout, source.is.id(), rank(r), age,
                set.features().requestCoalescing() && r.cls.idempotency() == Idempotency.SAFE, sibling, r.cls.freshnessLifetime() > 0));
    }

    private static double aim(Open r) {
        return Math.min(r.cls.latencyObjective() + r.cls.transferAllowance() * r.work, r.cls.deadline());
    }

    // Whether one more attempt at this member keeps the effect rules.
    private boolean allowed(Open r, Node to) {
        if (r.cls.idempotency() == Idempotency.SAFE) {
            return set.features().parallelAttempts() || r.live == 0;
        }
        if (r.ran == null) {
            return true;
        }
        if (r.cls.idempotency() == Idempotency.NON_IDEMPOTENT || r.live > 0 && !set.features().parallelAttempts()
                || now >= r.ranAt + r.cls.idempotencyWindow()) {
            return false;
        }
        return r.cls.deduplicationScope() == DeduplicationScope.ALL && to.is.role() == EndpointRole.CACHE || to.is.zone() == r.ran.is.zone()
                && (r.cls.deduplicationScope() == DeduplicationScope.ZONE || to.is.cell() == r.ran.is.cell());
    }

    // ---- An outcome ----
    private void outcome(AttemptFinished o) {
        Open r = open.get(o.requestId());
        if (r == null || o.attempt() < 0 || o.attempt() >= r.tries.size() || r.tries.get(o.attempt()).done) {
            return;
        }
        Try t = r.tries.get(o.attempt());
        t.done = true;
        r.live--;
        if (!t.quiet) {
            release(t);
        } else if (o.outcome() != AttemptOutcome.CANCELLED && t.node.lastAnswer >= t.at) {
            lost += HEALTH_GAIN * ((o.outcome() == AttemptOutcome.OK ? 0 : 1) - lost);
        }
        boolean neverRan = o.outcome() == AttemptOutcome.OVERLOADED || o.outcome() == AttemptOutcome.CONNECT_FAILED
                || o.outcome() == AttemptOutcome.SUPERSEDED || o.outcome() == AttemptOutcome.MISS;
        r.ran = neverRan && r.ranAt == t.at && r.live == 0 ? null : r.ran;
        r.reached |= o.outcome() != AttemptOutcome.CONNECT_FAILED && o.outcome() != AttemptOutcome.SUPERSEDED;
        learn(r, t, o);
        if (o.requestDone() || o.outcome() == AttemptOutcome.OK) {
            close(r);
        } else if (!r.over) {
            again(r, t, o);
        }
        if (r.over && r.live == 0) {
            open.remove(o.requestId());
        }
    }

    // The gate that a try's lateness narrows. An ill or lagging source is no reason to fill less from others.
    private Gate blamed(Try t, boolean hit) {
        if (hit || !t.outside || lags(t.node, caches)) {
            return t.node.gate;
        }
        return t.source.until > 0 || lags(t.source, parents) ? new Gate() : fills;
    }

    private void release(Try t) {
        t.node.gate.out--;
        fills.out -= t.fill;
    }

    // What an outcome says of who holds the object, and of the health of the cache and of the source.
    private void learn(Open r, Try t, AttemptFinished o) {
        AttemptOutcome end = o.outcome();
        t.node.trial = false;
        t.source.trial = false;
        boolean silent = end == AttemptOutcome.TIMEOUT || end == AttemptOutcome.CANCELLED || end == AttemptOutcome.SUPERSEDED;
        t.node.lastAnswer = silent || end == AttemptOutcome.CONNECT_FAILED ? t.node.lastAnswer : now;
        boolean hit = o.cacheStatus() == CacheStatus.HIT || o.cacheStatus() == CacheStatus.STALE || o.cacheStatus() == CacheStatus.UNKNOWN && !t.outside;
        Gate gate = blamed(t, hit);
        if (end == AttemptOutcome.OK) {
            t.node.pace += HEALTH_GAIN * (o.latency() / t.usual - t.node.pace);
            judge(t.node, o.latency() > aim(r) && lags(t.node, caches));
            r.accused.forEach(n -> judge(n, n != t.node));
            r.doubted.forEach(n -> judge(n, n != t.source && failsAlone(n)));
            boolean slow = o.latency() - r.work > SLOW * aim(r);
            gate.strain += STRAIN_GAIN * ((slow ? 1 : 0) - gate.strain);
            gate.learn(o.latency() < WELL_INSIDE * aim(r), o.latency() > aim(r));
            earn(t.node, r);
            fillShare += t.outside ? GAIN * ((hit ? 0 : 1) - fillShare) : 0;
            if (!hit && t.outside) {
                t.source.pace += HEALTH_GAIN * (o.latency() / t.usual - t.source.pace);
                judge(t.source, o.latency() > aim(r) && lags(t.source, parents));
                earn(t.source, r);
                t.source.lastAnswer = now;
                if (!lags(t.source, parents)) {
                    fillWait += GAIN * (Math.max(0, o.latency() - r.work) - fillWait);
                }
            }
            if (kept(r) && t.node.is.role() == EndpointRole.CACHE) {
                believe(r, t.node, hit);
            }
            return;
        }
        boolean sourceFault = o.cacheStatus().compareTo(CacheStatus.SOURCE_REJECTED) >= 0 && o.cacheStatus() != CacheStatus.FILL_LIMIT_REACHED;
        boolean pureError = end == AttemptOutcome.ERROR && r.cls.idempotency() == Idempotency.SAFE;
        boolean failed = end == AttemptOutcome.ERROR || end == AttemptOutcome.RESET || end == AttemptOutcome.CONNECT_FAILED;
        // Where notes tell of hits only, a cache that can't fill says no more than that it is full or that it
        // failed. Guards against a parent that is gone, before the list tells of it, closing all gates: fills
        // refused from one parent, one after the other, are its fault. Harm: crowded caches may cost a parent
        // a second. An error may be the parent's as well as the cache's: the parent's record counts it once
        // the request was served by another way, and at once where it can't be tried again. Guards against
        // one that has lost its way to the origin, which fails what it lacks and serves the rest.
        boolean unfilled = set.upstream().cacheStatusDetail() != CacheStatusDetail.ALL && t.outside && t.source.is.role() == EndpointRole.PARENT
                && (end == AttemptOutcome.OVERLOADED || end == AttemptOutcome.ERROR);
        if (unfilled) {
            r.failedSources.add(t.source);
            if (end == AttemptOutcome.OVERLOADED || !pureError && failsAlone(t.source)) {
                judge(t.source, true);
            } else if (pureError) {
                r.doubted.add(t.source);
            }
        }
        // Blame the right party: an error that tells of its source says nothing of the cache, and one that
        // another cache gives too may be the request's own fault. Guards against unusable requests ejecting
        // the healthy.
        if (pureError && !sourceFault && !r.accused.contains(t.node)) {
            r.accused.add(t.node);
        } else if (failed && !pureError && !sourceFault) {
            judge(t.node, true);
        } else if (end == AttemptOutcome.TIMEOUT && !t.quiet || end == AttemptOutcome.OVERLOADED) {
            gate.learn(false, true);
        }
        if (end == AttemptOutcome.TIMEOUT) {
            suspect(t);
        } else if (!silent) {
            beliefs.remove(belief(r, t.node));
        }
        if (t.sibling) {
            beliefs.remove(belief(r, t.source));
            r.parentOnly = true;
        } else if (sourceFault) {
            r.failedSources.add(t.source);
            if (o.cacheStatus() == CacheStatus.SOURCE_FAILED || o.cacheStatus() == CacheStatus.SOURCE_REJECTED) {
                judge(t.source, true);
            }
        } else if (!t.quiet && (end != AttemptOutcome.MISS || t.source != t.node)) {
            r.failed.add(t.node);
        }
    }

    // A further attempt costs a part of their budget, unless the last one only learned who lacks the
    // object. What two caches answer with an error is not tried on: its repeats would use up the budget of
    // the others. What no cache could be reached for is given back while its client has half of its time
    // left: guards against a zone that is cut off holding back requests that nobody works on.
    private void again(Open r, Try t, AttemptFinished o) {
        boolean only = o.outcome() == AttemptOutcome.MISS || t.sibling && o.outcome() == AttemptOutcome.OVERLOADED;
        if (r.live > 0) {
            return;
        }
        boolean heldBack = !r.reached && now + (now - t.at) > r.arrived + (r.asks.expiresAt() - r.arrived) / 2;
        boolean unusable = r.accused.size() > 1;
        if (heldBack || unusable || !only && retries < 1 || t.source == t.node && !fills.open(large(r))) {
            giveUp(r);
        } else {
            retries -= only ? 0 : 1;
            advance(r);
        }
    }

    // The final answer when no attempt is left, at once; the client hears when to come again, also where the
    // site doesn't promise that its clients are told (RetryAfter false): those that hear it come back spread
    // out and while their aim runs, the others lose nothing.
    private void giveUp(Open r) {
        if (r.live > 0) {
            return;
        }
        boolean harmless = r.cls.idempotency() == Idempotency.SAFE || r.ran == null
                || r.cls.idempotency() == Idempotency.IDEMPOTENCY_KEY && r.cls.deduplicationScope() == DeduplicationScope.ALL;
        actions.add(!harmless ? new FailRequest(r.asks.requestId()) : new RejectRequest(r.asks.requestId(),
                Math.min(set.retry().maxRetryAfter(), (long) (HOLD_OFF * r.cls.latencyObjective() * (1 + random.nextDouble())))));
        close(r);
    }

    private void close(Open r) {
        for (Try t : r.tries) {
            if (!t.done && !r.over && !r.streaming && set.features().attemptCancellation()) {
                actions.add(new CancelAttempt(r.asks.requestId(), r.tries.indexOf(t)));
            }
        }
        r.over = true;
        if (r.live == 0) {
            open.remove(r.asks.requestId());
        }
    }

    // ---- Beliefs: who holds a part ----
    private static long belief(Open r, Node c) {
        return mix(r.piece ^ mix(c.is.id()));
    }

    private boolean believes(Open r, Node c) {
        Long seen = beliefs.get(belief(r, c));
        long life = r.cls.freshnessLifetime() > 0 ? Math.min(HINT_AGE, r.cls.freshnessLifetime()) : HINT_AGE;
        return seen != null && now - seen < life && seen > purgeTime(r) && seen >= c.is.startedAt();
    }

    // A hit on a copy that ages tells its holder, not its age: half its fresh time, where that is not known.
    private void believe(Open r, Node c, boolean hit) {
        if (hit && r.cls.freshnessLifetime() > 0) {
            beliefs.putIfAbsent(belief(r, c), now - r.cls.freshnessLifetime() / 2);
        } else {
            beliefs.put(belief(r, c), now);
        }
    }

    // ---- Purges ----
    private void purged(ContentPurged p) {
        purges.merge(p.object() != null ? hash(p.object()) : groupKey(p.purgeGroup()), now - p.age(), Math::max);
    }

    private static long groupKey(int group) {
        return mix(~(long) group);
    }

    private long purgeTime(Open r) {
        return Math.max(purges.getOrDefault(r.object, Long.MIN_VALUE),
                purges.getOrDefault(groupKey(r.asks.purgeGroup()), Long.MIN_VALUE));
    }

    // Oldest copy that will do: none from before a purge, as long as one may be kept anywhere. At least 1,
    // as 0 means any age. A purge told twice or out of order does no harm; one told wrongly costs fills.
    private long oldest(Open r) {
        long purge = purgeTime(r);
        if (purge == Long.MIN_VALUE) {
            return 0;
        }
        long age = Math.max(1, now - purge);
        return r.cls.freshnessLifetime() > 0 ? Math.min(age, r.cls.freshnessLifetime()) : age;
    }

    // ---- Cold members ----
    private double warmth(Node n, long at) {
        SlowStart rule = n.is.role() == EndpointRole.CACHE ? set.slowStart().cache() : set.slowStart().parent();
        if (n.is.startedAt() <= 0 || rule.window() <= 0) {
            return 1;
        }
        double share = (at - n.is.startedAt()) / (double) rule.window();
        return Math.max(rule.initialShare(), Math.min(1, rule.initialShare() + (1 - rule.initialShare()) * share));
    }

    // Whether a member that has just started may get this request within its budget: multiple x present
    // capacity over any span of TipAfter, split over the routers that may send. Holds for any fresh member,
    // whatever made it start. Harm: a warm member whose start is told wrongly gets too little for a while.
    private boolean coldHasRoom(Node n, Open r) {
        if (n.is.role() == EndpointRole.ORIGIN || warmth(n, now) >= 1 || set.slowStart().overloadWindow() <= 0) {
            return true;
        }
        boolean parent = n.is.role() == EndpointRole.PARENT;
        while (!n.spent.isEmpty() && n.spent.peekFirst()[0] <= now - set.slowStart().overloadWindow()) {
            n.spentSum -= n.spent.pollFirst()[1];
        }
        int split = parent ? Math.max(1, set.topology().routers()) : seats;
        double known = parent ? bore[1] : Math.max(bore[0], guess());
        double capacity = set.upstream().weightsAreCapacities() ? n.is.weight() / split : known;
        SlowStart rule = parent ? set.slowStart().parent() : set.slowStart().cache();
        // Warmth rises in a line at least: in the middle of the window it is the window's mean.
        double bears = rule.overcommit() * warmth(n, now - set.slowStart().overloadWindow() / 2) * capacity * part;
        boolean turn = n.spent.isEmpty() && now / set.slowStart().overloadWindow() % split == set.topology().router() % split;
        boolean room = n.spentSum + classWork[r.asks.requestClass()] <= COLD_SHARE * bears * set.slowStart().overloadWindow();
        lacked = room ? lacked : now;
        return room || turn && !set.upstream().weightsAreCapacities();
    }

    // What a warm cache bears for this router, by the zone's link. Guards against a router that starts with
    // its zone and has seen nothing served yet: it would refuse nearly all until the caches are warm. Taken
    // over the most caches listed so far: the first to come back must not be given the work of all.
    private double guess() {
        double n = Math.max(CACHES_LEAST, mostCaches);
        double wider = Math.sqrt(Math.max(1, LINK_FOR / n));
        double carries = set.bandwidth().clientKbPerSecond() > 0 ? set.bandwidth().fillLinkKbPerSecond() / set.bandwidth().clientKbPerSecond() : 0;
        return LINK_BEARS * carries / wider / n / seats;
    }

    // Transfers at once that this router has of late had served by a warm member of the list, on average.
    // While none is warm the last value stands: a zone that restarts as a whole is not left without.
    private double borneByWarm(List<Node> list, double before) {
        double sum = 0;
        int warm = 0;
        for (Node n : list) {
            if (warmth(n, now) >= 1) {
                sum += n.borne * Math.exp((n.borneAt - now) / BORNE_OVER) / BORNE_OVER;
                warm++;
            }
        }
        return warm == 0 ? before : sum / warm;
    }

    // What a member has served, not what it was sent, tells what it bears.
    private void earn(Node n, Open r) {
        n.borne = n.borne * Math.exp((n.borneAt - now) / BORNE_OVER) + classWork[r.asks.requestClass()];
        n.borneAt = now;
    }

    private void charge(Node n, Open r) {
        if (warmth(n, now) < 1) {
            n.spent.addLast(new double[] {now, classWork[r.asks.requestClass()]});
            n.spentSum += classWork[r.asks.requestClass()];
        }
    }

    // ---- Health ----
    private boolean healthy(Node n) {
        return n.until == 0 || now >= n.until && !n.trial;
    }

    // Whether a member is much slower for its size than its peers that are well. Guards against members that
    // age, stall or are crowded by others; it acts on the difference, so that what slows all ejects none.
    // Harm: of two members alone, one that has drawn the larger misses may look slow until its next trial.
    private boolean lags(Node n, List<Node> peers) {
        double sum = 0;
        int others = 0;
        for (Node p : peers) {
            if (p != n && p.until == 0) {
                sum += p.pace;
                others++;
            }
        }
        return others > 0 && n.pace > LAG * sum / others;
    }

    // One more answer or failure of a member. Guards against members that fail fast, break connections, stay
    // silent or lag: past the limit they are left alone, then get one trial at a time with a growing wait.
    // Harm: an unlucky member loses its share for a second.
    private void judge(Node n, boolean failed) {
        n.failing += HEALTH_GAIN * ((failed ? 1 : 0) - n.failing);
        boolean tried = n.until > 0 && now >= n.until;
        if (failed && (tried || n.until == 0 && n.failing > FAIL_LIMIT)) {
            n.wait = Math.max(WAIT_FIRST, Math.min(WAIT_MAX, 2 * n.wait));
            n.until = now + n.wait;
        } else if (!failed && tried) {
            n.until = 0;
            n.failing = FAIL_LIMIT / 2;
        } else if (!failed && n.failing < FAIL_LIMIT / 20) {
            n.wait = 0;
        }
    }

    // ---- The list ----
    private void listed(EndpointsChanged l) {
        if (l.kind() == EndpointUpdateKind.FAILED) {
            if (!set.upstream().pushedEndpointUpdates()) {
                actions.add(new StartTimer(WATCH, now + WAIT_FIRST));
            }
            return;
        }
        Map<Long, Node> old = new LinkedHashMap<>(nodes);
        if (l.kind() != EndpointUpdateKind.DELTA) {
            nodes.clear();
        }
        for (Endpoint m : l.endpoints()) {
            Node n = old.get(m.id());
            if (m.lifecycle() != EndpointLifecycle.READY) {
                nodes.remove(m.id());
                continue;
            }
            if (n == null || n.is.startedAt() != m.startedAt()) {
                n = new Node();
            }
            n.is = m;
            nodes.put(m.id(), n);
        }
        caches = listed(n -> n.is.role() == EndpointRole.CACHE && n.is.zone() == set.topology().zone());
        parents = listed(n -> n.is.role() == EndpointRole.PARENT);
        origin = listed(n -> n.is.role() == EndpointRole.ORIGIN).stream()
                .min(Comparator.comparingLong(n -> n.is.id())).orElse(null);
        mostCaches = Math.max(mostCaches, caches.size());
    }

    private List<Node> listed(Predicate<Node> which) {
        return nodes.values().stream().filter(which).collect(Collectors.toCollection(ArrayList::new));
    }

    // ---- Housekeeping ----
    private void sweep() {
        for (Open r : new ArrayList<>(open.values())) {
            overdue(r);
        }
        bore[0] = Math.max(bore[0] * BORE_FADES, borneByWarm(caches, bore[0]));
        bore[1] = Math.max(bore[1] * BORE_FADES, borneByWarm(parents, bore[1]));
        lost *= BORE_FADES;
        purges.values().removeIf(at -> now - at > set.purgePropagation() + 2 * TICK);
        if (set.features().gossipEnabled() && set.topology().routers() > 1 && now >= nextReport) {
            report();
            nextReport = now + REPORT_PERIOD;
        }
        actions.add(new StartTimer(SWEEP, now + TICK));
    }

    // An attempt is overdue by the pace at which its member answers others of its size. Another is made
    // beside it, or in its place where that can yet be in time or the cache is ill: a large transfer begun
    // twice ends late. Holds against lost answers, hangs, stalls and cut links. A lost answer gives back its
    // room and judges no one; a member is judged only if it answered nothing since. A slow member is waited
    // for, as its pace lengthens the wait. Harm: a long stall of all costs one repeat each, in their budget.
    private void overdue(Open r) {
        int count = r.tries.size();
        for (int i = 0; i < count && !r.streaming && !r.over; i++) {
            Try t = r.tries.get(i);
            if (t.done || t.quiet || now < due(t)) {
                continue;
            }
            suspect(t);
            t.quiet = true;
            release(t);
            r.failed.add(t.node);
            if (r.cls.idempotency() == Idempotency.SAFE && retries >= 1 && now + r.work < r.asks.expiresAt()) {
                if (set.features().parallelAttempts()) {
                    retries--;
                    advance(r);
                } else if (set.features().attemptCancellation() && (t.node.until > 0 || lost > LOST_SEEN
                        || now + t.usual < t.at + aim(r))) {
                    actions.add(new CancelAttempt(r.asks.requestId(), r.tries.indexOf(t)));
                }
            }
        }
    }

    private long due(Try t) {
        double share = lost > LOST_SEEN ? LOST_DUE : 1;
        return t.at + (long) (share * (OVERDUE_FLOOR + OVERDUE * Math.max(1, t.node.pace) * t.usual));
    }

    private void suspect(Try t) {
        if (t.outside) {
            t.source.pace += GAIN * ((now - t.at) / t.usual - t.source.pace);
        }
        if (t.node.lastAnswer < t.at) {
            judge(t.node, true);
        } else if (t.outside && (t.source.lastAnswer < t.at || lags(t.source, parents))
                && set.upstream().cacheStatusDetail() != CacheStatusDetail.NONE) {
            judge(t.source, true);
        }
    }

    // ---- Shared counts ----
    private int owner(long object) {
        int best = 0;
        for (int i = 1; i < set.topology().routers(); i++) {
            best = mix(object ^ mix(i)) > mix(object ^ mix(best)) ? i : best;
        }
        return best;
    }

    // Batches what was counted since the last report, by owner; what does not fit goes with a later one.
    private void report() {
        ByteBuffer[] to = new ByteBuffer[set.topology().routers()];
        for (Map.Entry<Long, Tally> e : unreported.entrySet()) {
            Tally t = e.getValue();
            int owner = owner(e.getKey());
            if (owner == set.topology().router()) {
                t.shared = own(e.getKey(), t.unsent);
            } else if (t.unsent > 1) {
                to[owner] = entry(to[owner], REPORT, e.getKey(), t.unsent);
            }
            t.unsent = 0;
        }
        unreported.clear();
        for (int i = 0; i < to.length; i++) {
            tell(i, to[i]);
        }
    }

    private int own(long object, int more) {
        Tally t = tally(owned, object);
        return t.own = Math.min(COUNT_MAX, t.own + more);
    }

    private static ByteBuffer entry(ByteBuffer to, byte kind, long object, int n) {
        ByteBuffer b = to == null ? ByteBuffer.allocate(MESSAGE_MAX).put(kind) : to;
        return b.remaining() < ENTRY_BYTES ? b : b.putLong(object).putShort((short) n);
    }

    private void tell(int router, ByteBuffer b) {
        if (b != null && b.position() > 1) {
            actions.add(new SendGossip(router, Arrays.copyOf(b.array(), b.position())));
        }
    }

    // A report is answered with the sums; sums are taken over. Anything else, cut or too long, is ignored.
    private void message(GossipReceived m) {
        int length = m.payload().length;
        if (length < 1 + ENTRY_BYTES || length > MESSAGE_MAX || (length - 1) % ENTRY_BYTES != 0
                || !set.features().gossipEnabled() || m.router() < 0 || m.router() >= set.topology().routers() || m.router() == set.topology().router()) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(m.payload());
        byte kind = in.get();
        ByteBuffer sums = null;
        while (in.hasRemaining() && (kind == REPORT || kind == SUMS)) {
            long object = in.getLong();
            int n = Math.min(COUNT_MAX, in.getShort() & 0xffff);
            if (kind == REPORT) {
                sums = entry(sums, SUMS, object, own(object, n));
            } else if (counts.containsKey(object)) {
                tally(counts, object).shared = n;
            }
        }
        tell(m.router(), sums);
    }

    // ---- Hashing ----
    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    private static long mix(long x) {
        x = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }
}
