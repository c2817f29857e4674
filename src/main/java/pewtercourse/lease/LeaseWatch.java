package pewtercourse.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how long each lease has stood unchanged, in microseconds of this member's own clock. The time counts from when
 * this member applied the last renewal, which is later than when the holder proposed it. The clocks of two members are
 * therefore never compared (Gray and Cheriton, "Leases", 1989).
 */
final class LeaseWatch {
    private record Observation(long token, long renewals, long observedAt) {}

    private final Map<String, Observation> observations = new HashMap<>();

    /** Called after an entry was applied at {@code now}, or after the state was read from a snapshot. */
    void onStateChanged(long now, ClusterState state) {
        state.leases().forEach((name, lease) -> {
            Observation lastObservation = observations.get(name);
            if (lastObservation == null
                    || lastObservation.token() != lease.token()
                    || lastObservation.renewals() != lease.renewals()) {
                observations.put(name, new Observation(lease.token(), lease.renewals(), now));
            }
        });
    }

    /** Microseconds since this member saw the lease renewed, assigned or released last; 0 if it never saw the lease. */
    long ageMicros(long now, String lease) {
        Observation lastObservation = observations.get(lease);
        return lastObservation == null ? 0 : now - lastObservation.observedAt();
    }
}
