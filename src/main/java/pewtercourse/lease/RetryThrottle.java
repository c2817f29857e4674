package pewtercourse.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Lets the same command be proposed again only after the retry interval: what was proposed may still be agreed. */
final class RetryThrottle<K> {
    private final long retryMicros;
    private final Map<K, Long> proposedAt = new HashMap<>();

    RetryThrottle(long retryMicros) {
        this.retryMicros = retryMicros;
    }

    /** Forgets what was proposed so long ago that it may be proposed again. */
    void expire(long now) {
        proposedAt.values().removeIf(at -> now - at >= retryMicros);
    }

    /** Whether the command of this key may be proposed now; then it counts as proposed. */
    boolean tryPropose(K key, long now) {
        return proposedAt.putIfAbsent(key, now) == null;
    }

    void retain(Collection<K> keys) {
        proposedAt.keySet().retainAll(keys);
    }

    void clear() {
        proposedAt.clear();
    }
}
