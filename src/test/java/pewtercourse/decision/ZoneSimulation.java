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
 * All routers of a zone and its caches on a virtual clock: the module alone, with modelled caches that work on a few
 * requests at once, queue some more and turn the rest away. No router knows what the others send.
 */
final class ZoneSimulation {
    static final int CACHES = 8;

    private static final long MS = 1_000, SECOND = 1_000_000;
    private static final int ZONES = 3, SLOTS = 4, QUEUE = 8;
    private static final double KB_PER_S = 5_000;
    private static final long WORK = 300 * MS, AIM = 600 * MS, DEADLINE = 5 * SECOND, SWEEP = 20 * MS;
    private static final double COLD_FROM = 0.3, MULTIPLE = 2, HIT_SHARE = 0.75;
    private static final long WARM_UP = 12 * SECOND, TIP_AFTER = 1_500 * MS, FILL = 60 * MS;
    private static final long START = 100 * SECOND, RESTART = START + 20 * SECOND, END = START + 36 * SECOND;

    /** Which caches start anew in the middle of the day. */
    enum Restart {
        NONE,
        ONE,
        ALL
    }

    /** A request as its client sees it. */
    private static final class Asked {
        double kb;
        int attempts;
        boolean served;
    }

    private record Due(long at, int router, RouterEvent event) {}

    private record Job(int router, SendAttempt send, int attempt, long sentAt, double kb) {}

    /** A cache: {@code SLOTS} requests at once, at a speed that grows while it warms up. */
    private final class Cache {
        final Deque<Job> queue = new ArrayDeque<>();
        final Deque<Long> recent = new ArrayDeque<>(); // Times of what came within {@code TIP_AFTER}.
        long coldSince;
        int busy;

        double warmth(long now) {
            return coldSince == 0 ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - coldSince) / WARM_UP);
        }

        void take(long now, Job job) {
            count(now);
            if (busy < SLOTS) {
                work(now, job);
            } else if (queue.size() < QUEUE) {
                queue.add(job);
            } else {
                end(now, job, AttemptOutcome.OVERLOADED, CacheStatus.UNKNOWN);
            }
        }

        void work(long now, Job job) {
            busy++;
            boolean hit = random.nextDouble() < HIT_SHARE;
            long takes = (long) (job.kb / KB_PER_S * SECOND / warmth(now)) + (hit ? 0 : FILL);
            Runnable then = () -> {
                busy--;
                end(now + takes, job, AttemptOutcome.OK, hit ? CacheStatus.HIT : CacheStatus.UNKNOWN);
                if (!queue.isEmpty()) {
                    work(now + takes, queue.poll());
                }
            };
            later.add(new Timed(now + takes, then));
        }

        /** The most by which a window went over what a cold cache bears and what may be put down to chance. */
        void count(long now) {
            if (coldSince == 0 || now > coldSince + WARM_UP) {
                return;
            }
            recent.addLast(now);
            while (recent.peekFirst() <= now - TIP_AFTER) {
                recent.removeFirst();
            }
            double budget = MULTIPLE * warmth(now) * SLOTS * TIP_AFTER / WORK;
            worstOver = Math.max(worstOver, recent.size() - (budget + 2 * Math.sqrt(budget) + 2));
        }
    }

    private record Timed(long at, Runnable then) {}

    private final Random random;
    private final RoutingEngine[] routers;
    private final double[] shares;
    private final double load;
    private final Restart restart;
    private final PriorityQueue<Due> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final PriorityQueue<Timed> later = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Cache> caches = new ArrayList<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    private long nextId;
    private double worstOver = Double.NEGATIVE_INFINITY;

    /** {@code load}: what clients ask for, as a share of what all caches can do when warm. */
    ZoneSimulation(int size, double load, Restart restart, long seed) {
        this.random = new Random(seed);
        this.load = load;
        this.restart = restart;
        this.routers = new RoutingEngine[size];
        this.shares = new double[size];
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < size * ZONES; i++) {
            numbers.add(i);
        }
        Collections.shuffle(numbers, random); // A zone's routers are any of all.
        for (int i = 0; i < size; i++) {
            routers[i] = new RoutingEngine(settings(numbers.get(i), size), seed * 1_000 + i);
            shares[i] = 0.3 + 3 * random.nextDouble() * random.nextDouble(); // Some see several times the mean.
        }
        for (int c = 0; c < CACHES; c++) {
            caches.add(new Cache());
        }
    }

    private RouterSettings settings(int me, int size) {
        int[] seats = new int[ZONES];
        Arrays.fill(seats, size);
        RequestClass media = new RequestClass(
                Idempotency.SAFE, DeduplicationScope.ALL, 2 * SECOND, AIM, 2, DEADLINE, false, 0, false, false);
        double link = CACHES * SLOTS * KB_PER_S / 3;
        return new RouterSettings(
                new RouterTopology(
                        me, size * ZONES, 0, Arrays.stream(seats).boxed().toList()),
                List.of(media),
                new Bandwidth(KB_PER_S, link),
                new RouterFeatures(true, false, false, false, true),
                new RetryLimits(500 * MS, 6),
                new UpstreamFeatures(true, false, SiblingFillPolicy.OWN_ZONE, CacheStatusDetail.HITS),
                new SlowStartSettings(
                        new SlowStart(COLD_FROM, WARM_UP, MULTIPLE), new SlowStart(0.1, WARM_UP, MULTIPLE), TIP_AFTER),
                6 * SECOND);
    }

    private EndpointsChanged list(boolean restarted) {
        List<Endpoint> members = new ArrayList<>();
        for (int c = 0; c < CACHES; c++) {
            boolean cold = restarted && (restart == Restart.ALL || restart == Restart.ONE && c == 0);
            members.add(new Endpoint(c + 1, 0, EndpointRole.CACHE, 0, EndpointLifecycle.READY, 0, cold ? RESTART : 0));
        }
        members.add(new Endpoint(100, 5, EndpointRole.PARENT, 0, EndpointLifecycle.READY, 0, 0));
        members.add(new Endpoint(101, 5, EndpointRole.ORIGIN, 0, EndpointLifecycle.READY, 0, 0));
        return new EndpointsChanged(EndpointUpdateKind.SNAPSHOT, members);
    }

    ZoneSimulation play() {
        for (int r = 0; r < routers.length; r++) {
            events.add(new Due(START, r, list(false)));
            events.add(new Due(RESTART, r, list(true)));
            events.add(new Due(START + random.nextInt((int) SWEEP), r, new TimerFired("sweep")));
            arrive(r, START);
        }
        boolean restarted = false;
        while (events.peek().at < END) {
            long now = later.isEmpty() ? events.peek().at : Math.min(events.peek().at, later.peek().at);
            if (!restarted && now >= RESTART) {
                restarted = true;
                restartCaches();
            }
            if (!later.isEmpty() && later.peek().at <= events.peek().at) {
                later.poll().then.run();
            } else {
                handle(events.poll());
            }
        }
        return this;
    }

    private void restartCaches() {
        for (int c = 0; c < CACHES; c++) {
            if (restart == Restart.ALL || restart == Restart.ONE && c == 0) {
                caches.get(c).coldSince = RESTART;
            }
        }
    }

    private void handle(Due due) {
        if (due.event instanceof RequestArrived r) {
            Asked a = new Asked();
            a.kb = r.sizeKb();
            asked.put(r.requestId(), a);
            arrive(due.router, due.at);
        }
        for (RouterAction action : routers[due.router].handle(due.at, List.of(due.event))) {
            if (action instanceof StartTimer t) {
                events.add(new Due(t.dueAt(), due.router, new TimerFired(t.name())));
            } else if (action instanceof SendAttempt s) {
                Asked a = asked.get(s.requestId());
                Job job = new Job(due.router, s, a.attempts++, due.at, a.kb);
                if (s.endpointId() <= CACHES) {
                    caches.get((int) s.endpointId() - 1).take(due.at, job);
                }
            }
        }
    }

    private void arrive(int router, long after) {
        double rate = load
                * CACHES
                * SLOTS
                / WORK
                * shares[router]
                / Arrays.stream(shares).sum();
        long at = after + (long) (-Math.log(1 - random.nextDouble()) / rate) + 1;
        double meanKb = KB_PER_S * WORK / SECOND;
        double kb = meanKb * Math.exp(0.9 * random.nextGaussian() - 0.9 * 0.9 / 2); // Some are many times the mean.
        String object = "o" + (int) (400 * Math.pow(random.nextDouble(), 2));
        events.add(new Due(
                at,
                router,
                new RequestArrived(++nextId, 0, object, 0, 3, Math.min(kb, 8 * meanKb), at + DEADLINE, false, false)));
    }

    private void end(long now, Job job, AttemptOutcome ending, CacheStatus note) {
        boolean ok = ending == AttemptOutcome.OK && now <= job.sentAt + DEADLINE;
        asked.get(job.send.requestId()).served |= ok;
        events.add(new Due(
                now,
                job.router,
                new AttemptFinished(
                        job.send.requestId(), job.attempt, job.send.endpointId(), ending, now - job.sentAt, ok, note)));
    }

    /** Requests over budget and chance in the worst window of a cold cache; not over 0 if all went well. */
    double worstOver() {
        return worstOver;
    }

    /** Share of requests served, of those that are larger than this share of all and not larger than that. */
    double served(double from, double to) {
        List<Asked> bySize = new ArrayList<>(asked.values());
        bySize.sort((a, b) -> Double.compare(a.kb, b.kb));
        List<Asked> part = bySize.subList((int) (from * bySize.size()), (int) (to * bySize.size()));
        return part.stream().filter(a -> a.served).count() / (double) part.size();
    }
}
