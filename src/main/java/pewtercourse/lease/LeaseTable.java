package pewtercourse.lease;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.lease.wire.LeaseWire;

/** Stores the agreed leases by name, and issues increasing fencing tokens from one counter for all leases. */
final class LeaseTable {
    private final SortedMap<String, LeaseRecord> leases = new TreeMap<>();
    private long lastToken;

    LeaseRecord get(String name) {
        return leases.getOrDefault(name, LeaseRecord.NEVER_ASSIGNED);
    }

    SortedMap<String, LeaseRecord> byName() {
        return Collections.unmodifiableSortedMap(leases);
    }

    /** Whether this is the latest fencing token of the lease. */
    boolean isCurrent(String lease, long token) {
        return get(lease).token() == token;
    }

    CommandOutcome assign(Command.AssignLease command) {
        LeaseRecord lease = get(command.lease());
        if (lease.token() != command.token() || lease.renewals() != command.renewals()) {
            return CommandOutcome.rejected(RejectionReason.LEASE_CHANGED);
        }
        leases.put(command.lease(), LeaseRecord.assigned(command.holder(), ++lastToken));
        return CommandOutcome.APPLIED;
    }

    CommandOutcome renew(String proposer, Command.RenewLease command) {
        LeaseRecord lease = get(command.lease());
        if (!lease.isHeldBy(proposer, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        if (lease.renewals() != command.renewals()) {
            return CommandOutcome.rejected(RejectionReason.ALREADY_RENEWED);
        }
        leases.put(command.lease(), lease.renewed());
        return CommandOutcome.APPLIED;
    }

    CommandOutcome release(String proposer, Command.ReleaseLease command) {
        if (!get(command.lease()).isHeldBy(proposer, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        leases.put(command.lease(), LeaseRecord.released(command.successor(), ++lastToken, proposer));
        return CommandOutcome.APPLIED;
    }

    CommandOutcome requestTransfer(Command.RequestTransfer command) {
        LeaseRecord lease = get(command.lease());
        if (lease.token() != command.token() || !lease.isHeld()) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        leases.put(command.lease(), lease.withTransferRequested(command.preferredHolder()));
        return CommandOutcome.APPLIED;
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        snapshot.setLastToken(lastToken);
        leases.forEach((name, lease) -> snapshot.addLease(LeaseWire.Lease.newBuilder()
                .setName(LeaseNames.toWire(name))
                .setHolder(lease.holder())
                .setToken(lease.token())
                .setRenewals(lease.renewals())
                .setTransferRequested(lease.transferRequested())
                .setPreferredHolder(lease.preferredHolder())));
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        lastToken = snapshot.getLastToken();
        snapshot.getLeaseList()
                .forEach(lease -> leases.put(
                        LeaseNames.fromWire(lease.getName()),
                        new LeaseRecord(
                                lease.getHolder(),
                                lease.getToken(),
                                lease.getRenewals(),
                                lease.getTransferRequested(),
                                lease.getPreferredHolder())));
    }
}
