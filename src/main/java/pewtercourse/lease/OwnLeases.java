package pewtercourse.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

/** The leases of this member: renews what it holds, and releases what it is to hand over. */
final class OwnLeases {
    private final LeaseSettings settings;
    private final String member;
    private final CommandSigner signer;
    private final Map<String, Lease> held = new TreeMap<>();

    OwnLeases(LeaseSettings settings, String member, CommandSigner signer) {
        this.settings = settings;
        this.member = member;
        this.signer = signer;
    }

    /** Takes up what was assigned to this member, and drops what others hold. */
    void follow(ClusterState state) {
        held.keySet().removeIf(name -> !state.lease(name).holder().equals(member));
        state.leases().forEach((name, record) -> {
            if (record.holder().equals(member) && !isHeld(name, record.token())) {
                held.put(name, new Lease(settings, record.token()));
            }
        });
    }

    private boolean isHeld(String name, long token) {
        Lease lease = held.get(name);
        return lease != null && lease.token() == token;
    }

    /** This member's renewal of this number was applied; {@code start} gives the time from which it counts. */
    void renewed(Command.RenewLease command, long commandId, LongUnaryOperator start) {
        if (isHeld(command.lease(), command.token())) {
            held.get(command.lease()).renewed(commandId, start);
        }
    }

    /** The fencing token with which this member may act at this moment, or 0. */
    long validToken(String name, long now) {
        Lease lease = held.get(name);
        return lease == null ? 0 : lease.validToken(now);
    }

    long remainingMicros(String name, long now) {
        Lease lease = held.get(name);
        return lease == null ? 0 : lease.remainingMicros(now);
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    /** Proposes the renewals and releases that are due. */
    void propose(long now, ClusterState state, boolean eligible, Consumer<Command.Envelope> proposals) {
        held.forEach((name, lease) -> next(now, name, lease, state, eligible).ifPresent(proposals));
    }

    private Optional<Command.Envelope> next(long now, String name, Lease lease, ClusterState state, boolean eligible) {
        LeaseRecord record = state.lease(name);
        boolean transfers =
                record.transferRequested() && !record.preferredHolder().equals(member);
        boolean leaves = !eligible || transfers;
        if (leaves) {
            lease.release();
        }
        if (lease.isReleased() && lease.tryProposeRelease(now)) {
            Command release = new Command.ReleaseLease(name, lease.token(), successor(record, state));
            return Optional.of(signer.sign(release));
        }
        if (!leaves && lease.isRenewalDue(now)) {
            Command.Envelope renewal = signer.sign(new Command.RenewLease(name, lease.token(), record.renewals()));
            lease.renewalProposed(now, renewal.id());
            return Optional.of(renewal);
        }
        return Optional.empty();
    }

    private static String successor(LeaseRecord record, ClusterState state) {
        boolean preferred =
                record.transferRequested() && !state.ineligibleMembers().contains(record.preferredHolder());
        return preferred ? record.preferredHolder() : "";
    }
}
