package pewtercourse.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * A lease as the member that holds it sees it. Times are microseconds of that member's own clock. The lease runs from
 * just before its renewal was proposed, so that it ends here before any other member considers it expired. It is
 * renewed after a third of its duration. The holder reads {@link #validToken} before each act.
 */
final class Lease {
    private static final int MAX_PENDING_RENEWALS = 16;
    private static final int RENEWALS_PER_LEASE = 3;

    private final LeaseSettings settings;
    private final long token;
    private final Map<Long, Long> renewalProposedAt = new LinkedHashMap<>(); // By the number of the command.
    private long validUntil = Long.MIN_VALUE;
    private long proposeRenewalAt = Long.MIN_VALUE;
    private long proposeReleaseAt = Long.MIN_VALUE;
    private boolean released;

    Lease(LeaseSettings settings, long token) {
        this.settings = settings;
        this.token = token;
    }

    /** The fencing token, whether or not the lease is valid now. */
    long token() {
        return token;
    }

    /** The fencing token, or 0 if the holder must not act now. */
    long validToken(long now) {
        return !released && now < validUntil ? token : 0;
    }

    /** Microseconds until the lease ends; 0 if it has ended or was released. */
    long remainingMicros(long now) {
        return released ? 0 : Math.max(0, validUntil - now);
    }

    /** Whether a renewal has to be proposed now. */
    boolean isRenewalDue(long now) {
        return !released && now >= proposeRenewalAt;
    }

    /** Records that a renewal is proposed now by the command of this number. */
    void onRenewalProposed(long now, long commandId) {
        if (renewalProposedAt.size() >= MAX_PENDING_RENEWALS) {
            renewalProposedAt.remove(renewalProposedAt.keySet().iterator().next());
        }
        renewalProposedAt.put(commandId, now);
        proposeRenewalAt = now + settings.retryMicros();
    }

    /**
     * Extends the lease, because the renewal of this command number was applied.
     *
     * @param validityStart gives the time from which the renewal counts, from the time at which it was proposed
     */
    void onRenewalApplied(long commandId, LongUnaryOperator validityStart) {
        Long proposedAt = renewalProposedAt.remove(commandId);
        if (proposedAt == null) {
            return; // The time of the proposal is unknown, so the renewal cannot extend the lease.
        }
        long startsAt = validityStart.applyAsLong(proposedAt);
        validUntil = Math.max(validUntil, startsAt + settings.usableMicros());
        proposeRenewalAt = startsAt + settings.durationMicros() / RENEWALS_PER_LEASE;
        renewalProposedAt.clear();
    }

    /** Forbids the member to act by this lease from now on. */
    void release() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    /** Whether the release has to be proposed now, for the first time or again. If so, records it as proposed. */
    boolean tryProposeRelease(long now) {
        boolean isDue = now >= proposeReleaseAt;
        if (isDue) {
            proposeReleaseAt = now + settings.retryMicros();
        }
        return isDue;
    }
}
