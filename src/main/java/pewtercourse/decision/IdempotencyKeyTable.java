package pewtercourse.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers, for each idempotency key, the first attempt that may have run. A client's retry has another request id but the
 * same key, and may come to another router of the same director, so the routers share one table. Not thread-safe.
 */
public final class IdempotencyKeyTable {
    private static final int MAX_KEYS = 4_096;

    private static final class Entry {
        final PossibleRun first;
        final long expiresAt;
        int laterAttempts;

        Entry(PossibleRun first, long expiresAt) {
            this.first = first;
            this.expiresAt = expiresAt;
        }
    }

    /** By key, in the order in which the first attempts were sent. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Returns the first attempt with this key that may have run; null if none is known. */
    PossibleRun firstRun(String key, long now) {
        Entry entry = entries.get(key);
        return entry == null || entry.expiresAt <= now ? null : entry.first;
    }

    /** Records an attempt; {@code expiresAt} is the time from which no further try of its operation can come. */
    void onAttemptSent(String key, PossibleRun run, long expiresAt, long now) {
        Entry entry = entries.get(key);
        if (entry != null && entry.expiresAt > now) {
            entry.laterAttempts++;
            return;
        }
        entries.remove(key);
        entries.put(key, new Entry(run, expiresAt));
        evict(now);
    }

    /** Forgets an attempt that did not run, unless another attempt with its key has been sent since. */
    void onAttemptNeverRan(String key, PossibleRun run) {
        Entry entry = entries.get(key);
        if (entry == null) {
            return;
        }
        if (!entry.first.equals(run)) {
            entry.laterAttempts = Math.max(0, entry.laterAttempts - 1);
        } else if (entry.laterAttempts == 0) {
            entries.remove(key);
        }
    }

    private void evict(long now) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && (oldest.next().expiresAt <= now || entries.size() > MAX_KEYS)) {
            oldest.remove();
        }
    }

    /** Number of keys that are remembered. */
    int size() {
        return entries.size();
    }
}
