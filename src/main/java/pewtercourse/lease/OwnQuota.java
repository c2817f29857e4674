package pewtercourse.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * This member's quota: requests more of it, and counts a grant from before it was requested, by the member's own clock
 * in microseconds, so that it ends here before the holder of the quota lease grants it to another member.
 */
final class OwnQuota {
    private record TimedGrant(long usableUntil, long thousandths) {}

    private final LeaseSettings settings;
    private final String member;
    private final CommandSigner signer;
    private final Map<Long, Long> proposedAt = new HashMap<>(); // By the number of the command.
    private final Map<Long, Long> requestedAt = new HashMap<>(); // By the entry of the request.
    private final Map<Long, TimedGrant> grants = new TreeMap<>(); // By the entry of the grant.
    private long nextRequestAt = Long.MIN_VALUE;

    OwnQuota(LeaseSettings settings, String member, CommandSigner signer) {
        this.settings = settings;
        this.member = member;
        this.signer = signer;
    }

    /** The state was replaced: which requests the grants in it answer is not known any more. */
    void reset() {
        grants.clear();
        requestedAt.clear();
    }

    /** Drops grants that are not in force any more. */
    void follow(ClusterState state) {
        grants.keySet().retainAll(state.quotaGrants().keySet());
    }

    /** This member's request of this number was applied as log entry {@code entry}. */
    void requested(long entry, long commandId) {
        Long at = proposedAt.remove(commandId);
        if (at != null) {
            requestedAt.clear();
            requestedAt.put(entry, at);
        }
    }

    /** A grant was applied as log entry {@code entry}; {@code start} gives the time from which it counts. */
    void granted(long entry, Command.GrantQuota command, LongUnaryOperator start) {
        if (!command.grantee().equals(member) || settings.quotaPolicy() == null) {
            return;
        }
        Long at = requestedAt.remove(command.requestEntry());
        if (at != null) {
            long usableMicros = settings.quotaPolicy().usableMicros(settings.clockDrift());
            grants.put(entry, new TimedGrant(start.applyAsLong(at) + usableMicros, command.thousandths()));
        }
    }

    /** What it keeps and what it was granted, in thousandths of its share. */
    long thousandths(long now) {
        return settings.reservedThousandths()
                + grants.values().stream()
                        .filter(grant -> now < grant.usableUntil())
                        .mapToLong(TimedGrant::thousandths)
                        .sum();
    }

    /** Requests so many thousandths more; empty where there is nothing to request, or it was requested just now. */
    Optional<Command.Envelope> request(long now, long thousandths, ClusterState state) {
        if (settings.quotaPolicy() == null || now < nextRequestAt) {
            return Optional.empty();
        }
        if (thousandths <= 0 && !state.quotaRequests().containsKey(member)) {
            return Optional.empty();
        }
        nextRequestAt = now + settings.retryMicros();
        proposedAt.clear();
        Command.Envelope request = signer.sign(new Command.RequestQuota(thousandths));
        proposedAt.put(request.id(), now);
        return Optional.of(request);
    }
}
