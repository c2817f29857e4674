package pewtercourse.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * When the leases of others are over for certain, by this member's own clock: counted from when it applied the last
 * renewal, which is later than when its holder asked for it (Gray and Cheriton, "Leases", 1989, without comparing clocks).
 */
final class LeaseWatch {
    private record Seen(long token, long renewals, long at) {}

    private final Map<String, Seen> seen = new HashMap<>();

    /** The state after an entry was applied at {@code now}, or was found at a start. */
    void see(long now, ClusterState state) {
        state.duties().forEach((name, d) -> {
            Seen s = seen.get(name);
            if (s == null || s.token() != d.token() || s.renewals() != d.renewals()) {
                seen.put(name, new Seen(d.token(), d.renewals(), now));
            }
        });
    }

    /** How long it has stood as it does. */
    long age(long now, String duty) {
        Seen s = seen.get(duty);
        return s == null ? 0 : now - s.at();
    }
}
