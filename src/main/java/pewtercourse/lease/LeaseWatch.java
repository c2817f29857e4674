package pewtercourse.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * How long leases have stood unchanged by this member's own clock, in microseconds: counted from when it applied the last
 * renewal, which is later than when the holder proposed it. So clocks are never compared (Gray and Cheriton, "Leases",
 * 1989).
 */
final class LeaseWatch {
    private record Seen(long token, long renewals, long at) {}

    private final Map<String, Seen> seen = new HashMap<>();

    /** The state after an entry was applied at {@code now}, or was read from a snapshot. */
    void follow(long now, ClusterState state) {
        state.leases().forEach((name, lease) -> {
            Seen last = seen.get(name);
            if (last == null || last.token() != lease.token() || last.renewals() != lease.renewals()) {
                seen.put(name, new Seen(lease.token(), lease.renewals(), now));
            }
        });
    }

    /** Microseconds since the lease was last renewed or assigned, 0 for one that was never seen. */
    long ageMicros(long now, String lease) {
        Seen last = seen.get(lease);
        return last == null ? 0 : now - last.at();
    }
}
