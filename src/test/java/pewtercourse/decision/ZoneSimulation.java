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
import pewtercourse.decision.Router.Action;
import pewtercourse.decision.Router.Ending;
import pewtercourse.decision.Router.Event;
import pewtercourse.decision.Router.Member;
import pewtercourse.decision.Router.Note;
import pewtercourse.decision.Router.Role;
import pewtercourse.decision.Router.State;

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

    private record Due(long at, int router, Event event) {}

    private record Job(int router, Router.Send send, int attempt, long sentAt, double kb) {}

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
                end(now, job, Ending.FULL, Note.NONE);
            }
        }

        void work(long now, Job job) {
            busy++;
            boolean hit = random.nextDouble() < HIT_SHARE;
            long takes = (long) (job.kb / KB_PER_S * SECOND / warmth(now)) + (hit ? 0 : FILL);
            Runnable then = () -> {
                busy--;
                end(now + takes, job, Ending.OK, hit ? Note.HIT : Note.NONE);
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
    private final Logic[] routers;
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
        this.routers = new Logic[size];
        this.shares = new double[size];
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < size * ZONES; i++) {
            numbers.add(i);
        }
        Collections.shuffle(numbers, random); // A zone's routers are any of all.
        for (int i = 0; i < size; i++) {
            routers[i] = new Logic(settings(numbers.get(i), size), seed * 1_000 + i);
            shares[i] = 0.3 + 3 * random.nextDouble() * random.nextDouble(); // Some see several times the mean.
        }
        for (int c = 0; c < CACHES; c++) {
            caches.add(new Cache());
        }
    }

    private Router.Settings settings(int me, int size) {
        int[] seats = new int[ZONES];
        Arrays.fill(seats, size);
        Router.RequestClass media = new Router.RequestClass(
                Router.Effect.PURE, Router.Group.ALL, 2 * SECOND, AIM, 2, DEADLINE, false, 0, false, false);
        double link = CACHES * SLOTS * KB_PER_S / 3;
        return new Router.Settings(
                me,
                size * ZONES,
                0,
                seats,
                new Router.RequestClass[] {media},
                KB_PER_S,
                link,
                true,
                false,
                false,
                false,
                true,
                500 * MS,
                6,
                true,
                false,
                Router.Siblings.OWN_ZONE,
                Router.Notes.HITS,
                new Router.ColdRule(COLD_FROM, WARM_UP, MULTIPLE),
                new Router.ColdRule(0.1, WARM_UP, MULTIPLE),
                TIP_AFTER,
                6 * SECOND);
    }

    private Router.Listed list(boolean restarted) {
        List<Member> members = new ArrayList<>();
        for (int c = 0; c < CACHES; c++) {
            boolean cold = restarted && (restart == Restart.ALL || restart == Restart.ONE && c == 0);
            members.add(new Member(c + 1, 0, Role.CACHE, 0, State.READY, 0, cold ? RESTART : 0));
        }
        members.add(new Member(100, 5, Role.PARENT, 0, State.READY, 0, 0));
        members.add(new Member(101, 5, Role.ORIGIN, 0, State.READY, 0, 0));
        return new Router.Listed(Router.ListKind.WHOLE, members);
    }

    ZoneSimulation play() {
        for (int r = 0; r < routers.length; r++) {
            events.add(new Due(START, r, list(false)));
            events.add(new Due(RESTART, r, list(true)));
            events.add(new Due(START + random.nextInt((int) SWEEP), r, new Router.TimerDue("sweep")));
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
        if (due.event instanceof Router.Request r) {
            Asked a = new Asked();
            a.kb = r.sizeKb();
            asked.put(r.id(), a);
            arrive(due.router, due.at);
        }
        for (Action action : routers[due.router].handle(due.at, List.of(due.event))) {
            if (action instanceof Router.Timer t) {
                events.add(new Due(t.at(), due.router, new Router.TimerDue(t.name())));
            } else if (action instanceof Router.Send s) {
                Asked a = asked.get(s.id());
                Job job = new Job(due.router, s, a.attempts++, due.at, a.kb);
                if (s.member() <= CACHES) {
                    caches.get((int) s.member() - 1).take(due.at, job);
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
                new Router.Request(++nextId, 0, object, 0, 3, Math.min(kb, 8 * meanKb), at + DEADLINE, false, false)));
    }

    private void end(long now, Job job, Ending ending, Note note) {
        boolean ok = ending == Ending.OK && now <= job.sentAt + DEADLINE;
        asked.get(job.send.id()).served |= ok;
        events.add(new Due(
                now,
                job.router,
                new Router.Outcome(job.send.id(), job.attempt, job.send.member(), ending, now - job.sentAt, ok, note)));
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
