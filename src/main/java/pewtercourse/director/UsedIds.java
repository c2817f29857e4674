package pewtercourse.director;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the ids of answered requests, which must not be forwarded again: each request has a new id. Confined to the
 * event loop; times are microseconds.
 */
final class UsedIds {
    static final int MAX_ANSWERED = 4_096;
    static final long MAX_AGE_MICROS = TimeUnit.MINUTES.toMicros(10);

    private final Map<Long, Long> answeredAt = new LinkedHashMap<>(); // In the order of the times.

    /** A request has its answer. */
    void recordAnswered(long id, long now) {
        answeredAt.remove(id);
        answeredAt.put(id, now);
        Iterator<Long> oldestFirst = answeredAt.values().iterator();
        while (now - oldestFirst.next() > MAX_AGE_MICROS || answeredAt.size() > MAX_ANSWERED) {
            oldestFirst.remove();
        }
    }

    /** Whether a request of this id has been answered. */
    boolean contains(long id) {
        return answeredAt.containsKey(id);
    }
}
