package pewtercourse.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Allows the same command to be proposed again only after the retry interval, because the members may still agree on
 * the earlier proposal.
 */
final class RetryThrottle<K> {
    private final long retryMicros;
    private final Map<K, Long> proposedAt = new HashMap<>();

    RetryThrottle(long retryMicros) {
        this.retryMicros = retryMicros;
    }

    /** Forgets the proposals that are at least one retry interval old, so that they may be made again. */
    void expire(long now) {
        proposedAt.values().removeIf(lastProposedAt -> now - lastProposedAt >= retryMicros);
    }

    /** Whether the command of this key may be proposed now. If so, records it as proposed. */
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
