package pewtercourse.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

/** The leases of this member. It renews the leases that it holds, and releases those that it has to hand over. */
final class OwnLeases {
    private final LeaseSettings settings;
    private final String member;
    private final CommandSigner signer;
    private final Map<String, Lease> leases = new TreeMap<>();

    OwnLeases(LeaseSettings settings, String member, CommandSigner signer) {
        this.settings = settings;
        this.member = member;
        this.signer = signer;
    }

    /**
     * Called after the state has changed. Adds leases that were assigned to this member, and drops those that it lost.
     */
    void onStateChanged(ClusterState state) {
        leases.keySet().removeIf(name -> !state.lease(name).holder().equals(member));
        state.leases().forEach((name, record) -> {
            if (record.holder().equals(member) && !isHeld(name, record.token())) {
                leases.put(name, new Lease(settings, record.token()));
            }
        });
    }

    private boolean isHeld(String name, long token) {
        Lease lease = leases.get(name);
        return lease != null && lease.token() == token;
    }

    /**
     * Called after this member's renewal of this number was applied.
     *
     * @param validityStart gives the time from which the renewal counts, from the time at which it was proposed
     */
    void onRenewalApplied(Command.RenewLease command, long commandId, LongUnaryOperator validityStart) {
        if (isHeld(command.lease(), command.token())) {
            leases.get(command.lease()).onRenewalApplied(commandId, validityStart);
        }
    }

    /** The fencing token with which this member may act at this moment, or 0 if it must not act. */
    long validToken(String name, long now) {
        Lease lease = leases.get(name);
        return lease == null ? 0 : lease.validToken(now);
    }

    long remainingMicros(String name, long now) {
        Lease lease = leases.get(name);
        return lease == null ? 0 : lease.remainingMicros(now);
    }

    boolean isEmpty() {
        return leases.isEmpty();
    }

    /** Proposes the renewals and releases that are due. */
    void propose(long now, ClusterState state, boolean eligible, Consumer<Command.Envelope> proposals) {
        leases.forEach(
                (name, lease) -> nextProposal(now, name, lease, state, eligible).ifPresent(proposals));
    }

    private Optional<Command.Envelope> nextProposal(
            long now, String name, Lease lease, ClusterState state, boolean eligible) {
        LeaseRecord record = state.lease(name);
        boolean hasToTransfer =
                record.transferRequested() && !record.preferredHolder().equals(member);
        boolean hasToRelease = !eligible || hasToTransfer;
        if (hasToRelease) {
            lease.release();
        }
        if (lease.isReleased() && lease.tryProposeRelease(now)) {
            Command release = new Command.ReleaseLease(name, lease.token(), successor(record, state));
            return Optional.of(signer.sign(release));
        }
        if (!hasToRelease && lease.isRenewalDue(now)) {
            Command.Envelope renewal = signer.sign(new Command.RenewLease(name, lease.token(), record.renewals()));
            lease.onRenewalProposed(now, renewal.id());
            return Optional.of(renewal);
        }
        return Optional.empty();
    }

    private static String successor(LeaseRecord record, ClusterState state) {
        boolean isPreferredHolderEligible =
                record.transferRequested() && !state.ineligibleMembers().contains(record.preferredHolder());
        return isPreferredHolderEligible ? record.preferredHolder() : "";
    }
}
