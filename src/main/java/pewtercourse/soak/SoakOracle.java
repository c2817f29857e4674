package pewtercourse.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges the records of clients, caches and the control feed against the terms that directors have to keep. It knows
 * nothing of the director's code. Times are microseconds of one monotonic clock; {@code slack} is by how much the observer
 * itself was late. Confined to one event loop.
 */
public final class SoakOracle {
    /** A term that a director has to keep. */
    public enum Term {
        /** Each request that was taken has one final answer, at most half a second after its deadline. */
        ANSWER,
        /** No attempt begins more than 0.1 s after the client has left or its time is over, also after a stop. */
        ATTEMPT_AFTER_LEAVE,
        /** The deadline passed to a cache is at most what the client has left, and 0.15 s. */
        DEADLINE_PASSED_ON,
        /** A request that must not be repeated runs once. */
        DUPLICATE,
        /** No attempt goes to a draining or unlisted cache later than the time allowed after the notice. */
        DRAIN,
        /** All directors together keep the budget of a cold cache. */
        COLD_BUDGET,
        /** No copy from before a purge is asked for, later than the time allowed after the notice. */
        PURGE,
        /** Nine in ten starts are ready within 10 s. */
        READY,
        /** A director stays within its limits of memory and descriptors. */
        LIMITS,
        /** A director ends only when it is told to. */
        CRASH
    }

    /** A broken term, with what the oracle knows of it. */
    public record Violation(Term term, long at, String what) {}

    static final long LATE_ANSWER = 500_000;
    static final long LEAVE_GRACE = 100_000;
    static final long DEADLINE_SLACK = 150_000;
    static final long DRAIN_GRACE = 550_000;
    static final long PURGE_NOTICE = 1_050_000;
    static final long PURGE_PROPAGATION = 6_000_000;
    /** Timestamps and ages are whole milliseconds on the wire. */
    static final long TIMESTAMP_ROUNDING = 2_000;

    static final long COLD_WINDOW = 1_500_000;
    static final long READY_WITHIN = 10_000_000;
    private static final long REMEMBERED = 20_000_000;
    private static final int MAX_VIOLATIONS = 200;

    private static final class Request {
        final int director;
        final long sentAt;
        final long deadline;
        final String object;
        long leftAt = Long.MAX_VALUE;
        boolean ended;

        Request(int director, long sentAt, long deadline, String object) {
            this.director = director;
            this.sentAt = sentAt;
            this.deadline = deadline;
            this.object = object;
        }
    }

    private record Arrival(long at, int director) {}

    private final Map<String, Request> requests = new HashMap<>();
    private final Deque<String> requestOrder = new ArrayDeque<>();
    private final Map<String, Long> unlistedSince = new HashMap<>(); // By director and cache.
    private final Map<String, Long> purgedAt = new HashMap<>(); // By object.
    private final Map<String, Long> purgeNotified = new HashMap<>(); // By director and object.
    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>(); // By cache.
    private final Map<String, Long> startNotified = new HashMap<>(); // By director and cache.
    private final Set<String> runs = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();
    private final Map<Integer, Long> pausedUntil = new HashMap<>();
    private int starts;
    private int lateStarts;
    private final Map<String, Integer> counts = new TreeMap<>();

    private void violated(Term term, long at, String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(term, at, what));
        }
    }

    /** Counts an event for the summary. */
    public void count(String event) {
        counts.merge(event, 1, Integer::sum);
    }

    /** How often each event was counted. */
    public Map<String, Integer> counts() {
        return counts;
    }

    // ---- Clients ----

    /** A client has written a whole request to a connection of the director. */
    public void requestSent(String id, int director, long at, long deadlineMicros, String object) {
        requests.put(id, new Request(director, at, at + deadlineMicros, object));
        requestOrder.add(id);
        while (!requestOrder.isEmpty()) {
            Request oldest = requests.get(requestOrder.peek());
            if (oldest != null && at - oldest.sentAt < REMEMBERED) {
                return;
            }
            requests.remove(requestOrder.poll());
        }
    }

    /** The request has its answer; {@code slack} extends the time by which it is due. */
    public void answered(String id, long at, long slack) {
        Request request = requests.get(id);
        if (request == null || request.ended) {
            violated(Term.ANSWER, at, "request " + id + " has a second answer");
            return;
        }
        request.ended = true;
        long dueAt = Math.max(request.deadline, pausedUntil.getOrDefault(request.director, 0L)) + LATE_ANSWER + slack;
        if (at > dueAt) {
            violated(
                    Term.ANSWER,
                    at,
                    "request " + id + " of director " + request.director + " was answered "
                            + (at - request.deadline) / 1_000 + " ms after its deadline");
        }
    }

    /** The connection ended before the answer, or the time for it has passed. */
    public void unanswered(String id, long at, String why) {
        Request request = requests.get(id);
        if (request != null && !request.ended) {
            request.ended = true;
            violated(
                    Term.ANSWER,
                    at,
                    "request " + id + " of director " + request.director + " has no answer after "
                            + (at - request.sentAt) / 1_000 + " ms: " + why);
        }
    }

    /** No answer is owed any more, since the director was killed without a warning or had not taken the request. */
    public void excused(String id) {
        Request request = requests.get(id);
        if (request != null) {
            request.ended = true;
        }
    }

    /** The client has closed its connection before the answer. */
    public void clientLeft(String id, long at) {
        Request request = requests.get(id);
        if (request != null && !request.ended) {
            request.ended = true;
            request.leftAt = at;
        }
    }

    /** A director was stopped until {@code until}: it can't answer earlier. */
    public void paused(int director, long until) {
        pausedUntil.put(director, until);
    }

    // ---- Attempts, as a director writes them ----

    /** A director has written the head of an attempt. */
    public void attemptSent(
            String id, int director, String cache, long at, long timeoutMicros, long maxAgeMicros, long slack) {
        count("attempts");
        Request request = requests.get(id);
        if (request == null) {
            return;
        }
        long goneAt = Math.min(request.leftAt, request.deadline);
        if (at > goneAt + LEAVE_GRACE + slack) {
            violated(
                    Term.ATTEMPT_AFTER_LEAVE,
                    at,
                    "attempt of " + id + " " + (at - goneAt) / 1_000 + " ms after its client left director "
                            + director);
        }
        long left = request.deadline - at;
        if (timeoutMicros > left + DEADLINE_SLACK + slack) {
            violated(
                    Term.DEADLINE_PASSED_ON,
                    at,
                    "attempt of " + id + " with " + timeoutMicros / 1_000 + " ms, its client has " + left / 1_000);
        }
        Long unlisted = unlistedSince.get(key(director, cache));
        if (unlisted != null && at > unlisted + DRAIN_GRACE + slack) {
            violated(
                    Term.DRAIN,
                    at,
                    "attempt of " + id + " by director " + director + " at " + cache + " " + (at - unlisted) / 1_000
                            + " ms after the notice");
        }
        checkPurge(id, director, at, maxAgeMicros, slack, request);
    }

    private void checkPurge(String id, int director, long at, long maxAgeMicros, long slack, Request request) {
        Long purged = purgedAt.get(request.object);
        Long notified = purgeNotified.get(key(director, request.object));
        boolean binding = purged != null
                && notified != null
                && at > notified + PURGE_NOTICE + slack
                && at < purged + PURGE_PROPAGATION - slack;
        if (binding && (maxAgeMicros == 0 || maxAgeMicros > at - purged + TIMESTAMP_ROUNDING + slack)) {
            violated(
                    Term.PURGE,
                    at,
                    "attempt of " + id + " by director " + director + " would take a copy of " + maxAgeMicros / 1_000
                            + " ms, purged " + (at - purged) / 1_000 + " ms ago");
        }
    }

    // ---- Caches ----

    /** A whole attempt has arrived at a cache. */
    public void attemptArrived(String cache, int director, long at) {
        Deque<Arrival> recent = arrivals.computeIfAbsent(cache, name -> new ArrayDeque<>());
        recent.addLast(new Arrival(at, director));
        while (recent.peekFirst().at() <= at - COLD_WINDOW) {
            recent.removeFirst();
        }
    }

    /** A cold cache has collapsed under its load. */
    public void collapsed(String cache, long at) {
        Deque<Arrival> recent = arrivals.getOrDefault(cache, new ArrayDeque<>());
        Map<Integer, Integer> byDirector = new TreeMap<>();
        recent.forEach(arrival -> byDirector.merge(arrival.director(), 1, Integer::sum));
        long notified = recent.stream()
                .filter(arrival -> startNotified.getOrDefault(key(arrival.director(), cache), Long.MAX_VALUE) <= at)
                .count();
        if (3 * notified > 2 * recent.size()) {
            violated(
                    Term.COLD_BUDGET,
                    at,
                    cache + " fell under " + recent.size() + " requests by director " + byDirector);
        }
    }

    /** A request that must not be repeated was run. */
    public void ran(String id, long at) {
        if (!runs.add(id)) {
            violated(Term.DUPLICATE, at, "request " + id + " ran twice");
        }
    }

    // ---- The control feed ----

    /** A director counts as notified, at {@code at}, that a cache is ready, and started then unless it is 0. */
    public void readyNotified(int director, String cache, long at, boolean started) {
        unlistedSince.remove(key(director, cache));
        if (started) {
            startNotified.put(key(director, cache), at);
        }
    }

    /** A director counts as notified, at {@code at}, that a cache drains or is gone. */
    public void unlistedNotified(int director, String cache, long at) {
        unlistedSince.putIfAbsent(key(director, cache), at);
    }

    /** The events that a director counts as notified of from {@code since} on are held back: it is notified at {@code until}. */
    public void notificationsHeld(int director, long since, long until) {
        for (Map<String, Long> notified : List.of(unlistedSince, startNotified, purgeNotified)) {
            notified.replaceAll((key, at) -> key.startsWith(director + "/") && at >= since ? until : at);
        }
    }

    /** An object was purged, and a director counts as notified at {@code notifiedAt}. */
    public void purgeNotified(int director, String object, long at, long notifiedAt) {
        purgedAt.put(object, at);
        purgeNotified.put(key(director, object), notifiedAt);
    }

    // ---- Processes ----

    /** A director was ready this long after its start. */
    public void ready(int director, long at, long micros) {
        starts++;
        if (micros > READY_WITHIN) {
            lateStarts++;
            count("late starts");
        }
        if (starts >= 10 && lateStarts * 10 > starts) {
            violated(Term.READY, at, lateStarts + " of " + starts + " starts took over 10 s");
        }
    }

    /** A director has ended by itself. */
    public void crashed(int director, long at, String why) {
        violated(Term.CRASH, at, "director " + director + ": " + why);
    }

    /** What a director uses, beside its limits. */
    public void resources(int director, long at, double memoryMb, double memoryLimitMb, int descriptors, int limit) {
        if (memoryMb > memoryLimitMb || descriptors > limit) {
            violated(
                    Term.LIMITS,
                    at,
                    "director " + director + " uses " + memoryMb + " MB and " + descriptors + " descriptors");
        }
    }

    /** The broken terms, at most the first of them. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    private static String key(int director, String name) {
        return director + "/" + name;
    }
}
