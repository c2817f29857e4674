package pewtercourse.lease;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.lease.wire.LeaseWire;

/** Stores the open maintenance requests by number, which is the order in which they were made. */
final class MaintenanceTable {
    private static final int MAX_REQUESTS = 1_024;

    private final LeaseTable leases;
    private final DrainTable drains;
    private final SortedMap<Long, MaintenanceRequest> requests = new TreeMap<>();

    MaintenanceTable(LeaseTable leases, DrainTable drains) {
        this.leases = leases;
        this.drains = drains;
    }

    SortedMap<Long, MaintenanceRequest> requests() {
        return Collections.unmodifiableSortedMap(requests);
    }

    Optional<MaintenanceRequest> requestFor(String target) {
        return requests.values().stream()
                .filter(request -> request.target().equals(target))
                .findFirst();
    }

    void removeRequestsFor(String target) {
        requests.values().removeIf(request -> request.target().equals(target));
    }

    CommandOutcome request(long entry, String proposer, Command.RequestMaintenance command) {
        if (drains.drained().containsKey(command.target())
                || requestFor(command.target()).isPresent()) {
            return CommandOutcome.APPLIED;
        }
        if (requests.size() >= MAX_REQUESTS) {
            return CommandOutcome.rejected(RejectionReason.MAINTENANCE_REQUEST_LIMIT_REACHED, MAX_REQUESTS);
        }
        requests.put(entry, new MaintenanceRequest(entry, command.target(), command.zone(), proposer, false));
        return CommandOutcome.APPLIED;
    }

    CommandOutcome grant(Command.GrantMaintenance command) {
        if (!leases.isCurrent(LeaseNames.MAINTENANCE, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        MaintenanceRequest request = requests.get(command.request());
        if (request == null || !request.target().equals(command.target())) {
            return CommandOutcome.rejected(RejectionReason.MAINTENANCE_REQUEST_CANCELLED);
        }
        CommandOutcome outcome = drains.drain(command.target(), command.atUnixMs());
        if (outcome.isApplied()) {
            requests.put(command.request(), request.asGranted());
        }
        return outcome;
    }

    CommandOutcome cancel(String proposer, Command.CancelMaintenance command) {
        MaintenanceRequest request = requests.get(command.request());
        if (request == null || !request.target().equals(command.target())) {
            return CommandOutcome.rejected(RejectionReason.MAINTENANCE_REQUEST_NOT_FOUND);
        }
        boolean permitted = command.token() == 0
                ? request.requestedBy().equals(proposer) && !request.granted()
                : leases.isCurrent(LeaseNames.MAINTENANCE, command.token());
        if (!permitted) {
            return CommandOutcome.rejected(RejectionReason.CANCELLATION_NOT_PERMITTED);
        }
        requests.remove(command.request());
        return request.granted() ? drains.reinstate(command.target(), command.atUnixMs()) : CommandOutcome.APPLIED;
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        requests.values()
                .forEach(request -> snapshot.addMaintenanceRequest(LeaseWire.MaintenanceRequest.newBuilder()
                        .setNumber(request.number())
                        .setTarget(request.target())
                        .setZone(request.zone())
                        .setRequestedBy(request.requestedBy())
                        .setGranted(request.granted())));
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        snapshot.getMaintenanceRequestList()
                .forEach(request -> requests.put(
                        request.getNumber(),
                        new MaintenanceRequest(
                                request.getNumber(),
                                request.getTarget(),
                                request.getZone(),
                                request.getRequestedBy(),
                                request.getGranted())));
    }
}
