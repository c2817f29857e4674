package pewtercourse.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The quota of this member. It requests more quota, and counts the time of a grant from just before the request. Times
 * are microseconds of the member's own clock. The grant therefore ends here before the holder of the quota lease grants
 * the same quota to another member.
 */
final class OwnQuota {
    private record TimedGrant(long usableUntil, long thousandths) {}

    private final LeaseSettings settings;
    private final String member;
    private final CommandSigner signer;
    private final Supplier<String> zone;
    private final Map<Long, Long> proposedAtByCommandId = new HashMap<>();
    private final Map<Long, Long> proposedAtByRequestEntry = new HashMap<>();
    private final Map<Long, TimedGrant> grants = new TreeMap<>(); // By the log entry of the grant.
    private long nextRequestAt = Long.MIN_VALUE;

    /** Creates the quota of a member that has no grant; {@code zone} gives the zone of its caches, or "". */
    OwnQuota(LeaseSettings settings, String member, CommandSigner signer, Supplier<String> zone) {
        this.settings = settings;
        this.member = member;
        this.signer = signer;
        this.zone = zone;
    }

    /**
     * Forgets the grants and the applied request, because the state was replaced: it is no longer known which requests
     * the grants in the new state answer.
     */
    void reset() {
        grants.clear();
        proposedAtByRequestEntry.clear();
    }

    /** Called after the state has changed. Drops grants that are no longer in force. */
    void onStateChanged(ClusterState state) {
        grants.keySet().retainAll(state.quotaGrants().keySet());
    }

    /** Called after this member's request of this number was applied as log entry {@code entry}. */
    void onRequestApplied(long entry, long commandId) {
        Long proposedAt = proposedAtByCommandId.remove(commandId);
        if (proposedAt != null) {
            proposedAtByRequestEntry.clear();
            proposedAtByRequestEntry.put(entry, proposedAt);
        }
    }

    /**
     * Called after a grant to any member was applied as log entry {@code entry}.
     *
     * @param validityStart gives the time from which the grant counts, from the time at which its request was proposed
     */
    void onGrantApplied(long entry, Command.GrantQuota command, LongUnaryOperator validityStart) {
        if (!command.grantee().equals(member) || settings.quotaPolicy() == null) {
            return;
        }
        Long proposedAt = proposedAtByRequestEntry.remove(command.requestEntry());
        if (proposedAt != null) {
            long usableMicros = settings.quotaPolicy().usableMicros(settings.clockDrift());
            grants.put(
                    entry, new TimedGrant(validityStart.applyAsLong(proposedAt) + usableMicros, command.thousandths()));
        }
    }

    /** The reserved quota and the valid grants together, in thousandths of this director's share. */
    long thousandths(long now) {
        return settings.reservedThousandths()
                + grants.values().stream()
                        .filter(grant -> now < grant.usableUntil())
                        .mapToLong(TimedGrant::thousandths)
                        .sum();
    }

    /**
     * Returns the request for this many thousandths more, which also tells the zone of this member; empty if there is
     * nothing to request or tell, or if the last request is more recent than the retry interval.
     */
    Optional<Command.Envelope> request(long now, long thousandths, ClusterState state) {
        if (settings.quotaPolicy() == null || now < nextRequestAt) {
            return Optional.empty();
        }
        boolean zoneIsAgreed = state.quotaZoneOf(member).equals(zone.get());
        if (thousandths <= 0 && zoneIsAgreed && !state.quotaRequests().containsKey(member)) {
            return Optional.empty();
        }
        nextRequestAt = now + settings.retryMicros();
        proposedAtByCommandId.clear();
        Command.Envelope request = signer.sign(new Command.RequestQuota(Math.max(0, thousandths), zone.get()));
        proposedAtByCommandId.put(request.id(), now);
        return Optional.of(request);
    }
}
