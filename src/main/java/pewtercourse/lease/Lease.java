package pewtercourse.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * A lease at the member that holds it, by that member's own clock in microseconds. Its time counts from before the
 * renewal was proposed, so that it ends here before any other member takes it to be over; it is renewed after a third of
 * it. The holder reads {@link #token} before each act.
 */
final class Lease {
    private static final int MAX_PENDING_RENEWALS = 16;
    private static final int RENEWALS_PER_LEASE = 3;

    private final LeaseSettings settings;
    private final long token;
    private final Map<Long, Long> renewalProposedAt = new LinkedHashMap<>(); // By the number of the command.
    private long validUntil = Long.MIN_VALUE;
    private long renewAt = Long.MIN_VALUE;
    private long releaseAt = Long.MIN_VALUE;
    private boolean released;

    Lease(LeaseSettings settings, long token) {
        this.settings = settings;
        this.token = token;
    }

    /** The fencing token, whether or not the lease is valid now. */
    long token() {
        return token;
    }

    /** The fencing token, or 0: the holder must not act now. */
    long validToken(long now) {
        return !released && now < validUntil ? token : 0;
    }

    /** Microseconds until it ends, 0 if it has. */
    long remainingMicros(long now) {
        return released ? 0 : Math.max(0, validUntil - now);
    }

    /** Whether to propose a renewal now. */
    boolean isRenewalDue(long now) {
        return !released && now >= renewAt;
    }

    /** A renewal is proposed by the command of this number. */
    void renewalProposed(long now, long commandId) {
        if (renewalProposedAt.size() >= MAX_PENDING_RENEWALS) {
            renewalProposedAt.remove(renewalProposedAt.keySet().iterator().next());
        }
        renewalProposedAt.put(commandId, now);
        renewAt = now + settings.retryMicros();
    }

    /** The renewal of this number was applied; {@code start} gives the time from which it counts. */
    void renewed(long commandId, LongUnaryOperator start) {
        Long proposedAt = renewalProposedAt.remove(commandId);
        if (proposedAt == null) {
            return; // It is not known when it was proposed: it extends nothing.
        }
        long startsAt = start.applyAsLong(proposedAt);
        validUntil = Math.max(validUntil, startsAt + settings.usableMicros());
        renewAt = startsAt + settings.durationMicros() / RENEWALS_PER_LEASE;
        renewalProposedAt.clear();
    }

    /** From now on the member does not act by it. */
    void release() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    /** Whether to propose the release now, for the first time or again; then it counts as proposed. */
    boolean tryProposeRelease(long now) {
        boolean due = now >= releaseAt;
        if (due) {
            releaseAt = now + settings.retryMicros();
        }
        return due;
    }
}
