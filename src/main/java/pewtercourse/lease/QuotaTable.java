package pewtercourse.lease;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import pewtercourse.lease.wire.LeaseWire;

/**
 * Stores the open quota requests and the zones by member, and the quota grants in force by the log entry that made them.
 * A member that has not told its zone has the zone "".
 */
final class QuotaTable {
    private static final int MAX_REQUESTS = 64;
    private static final int MAX_GRANTS = 256;
    private static final int MAX_ZONES = 64; // The members told last.

    private final LeaseTable leases;
    private final Map<String, QuotaRequest> requests = new TreeMap<>();
    private final SortedMap<Long, QuotaGrant> grants = new TreeMap<>();
    private final Map<String, String> zones = new LinkedHashMap<>(); // By member, in the order in which they were told.

    QuotaTable(LeaseTable leases) {
        this.leases = leases;
    }

    Map<String, QuotaRequest> requests() {
        return Collections.unmodifiableMap(requests);
    }

    SortedMap<Long, QuotaGrant> grants() {
        return Collections.unmodifiableSortedMap(grants);
    }

    /** The zone whose caches a member serves; "" if it has none or has not told it. */
    String zoneOf(String member) {
        return zones.getOrDefault(member, "");
    }

    /** Total quota that is granted now, in thousandths of one director's share. */
    long grantedThousandths() {
        return grants.values().stream().mapToLong(QuotaGrant::thousandths).sum();
    }

    CommandOutcome request(long entry, String proposer, Command.RequestQuota command) {
        recordZone(proposer, command.zone());
        if (requests.size() >= MAX_REQUESTS && !requests.containsKey(proposer)) {
            return CommandOutcome.rejected(RejectionReason.QUOTA_REQUEST_LIMIT_REACHED);
        }
        if (command.thousandths() <= 0) {
            requests.remove(proposer);
        } else {
            requests.put(proposer, new QuotaRequest(entry, command.thousandths()));
        }
        return CommandOutcome.APPLIED;
    }

    private void recordZone(String member, String zone) {
        if (zone.equals(zoneOf(member))) {
            return;
        }
        zones.remove(member);
        if (zone.isEmpty()) {
            return;
        }
        if (zones.size() >= MAX_ZONES) {
            zones.remove(zones.keySet().iterator().next());
        }
        zones.put(member, zone);
    }

    CommandOutcome grant(long entry, Command.GrantQuota command) {
        if (!leases.isCurrent(LeaseNames.QUOTA, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        QuotaRequest request = requests.get(command.grantee());
        if (request == null || request.entry() != command.requestEntry() || command.thousandths() <= 0) {
            return CommandOutcome.rejected(RejectionReason.QUOTA_REQUEST_NOT_FOUND);
        }
        if (grants.size() >= MAX_GRANTS || grantedThousandths() + command.thousandths() > command.pool()) {
            return CommandOutcome.rejected(RejectionReason.QUOTA_LIMIT_REACHED);
        }
        requests.remove(command.grantee());
        grants.put(entry, new QuotaGrant(command.grantee(), command.requestEntry(), command.thousandths()));
        return CommandOutcome.APPLIED;
    }

    CommandOutcome release(Command.ReleaseQuota command) {
        if (!leases.isCurrent(LeaseNames.QUOTA, command.token())) {
            return CommandOutcome.rejected(RejectionReason.STALE_FENCING_TOKEN);
        }
        return grants.remove(command.grant()) == null
                ? CommandOutcome.rejected(RejectionReason.QUOTA_ALREADY_RELEASED)
                : CommandOutcome.APPLIED;
    }

    void writeTo(LeaseWire.Snapshot.Builder snapshot) {
        requests.forEach((member, request) -> snapshot.addQuotaRequest(LeaseWire.QuotaRequest.newBuilder()
                .setMember(member)
                .setEntry(request.entry())
                .setThousandths(request.thousandths())));
        zones.forEach((member, zone) -> snapshot.addQuotaZone(
                LeaseWire.QuotaZone.newBuilder().setMember(member).setZone(zone)));
        grants.forEach((entry, grant) -> snapshot.addQuotaGrant(LeaseWire.QuotaGrant.newBuilder()
                .setNumber(entry)
                .setGrantee(grant.grantee())
                .setRequestEntry(grant.requestEntry())
                .setThousandths(grant.thousandths())));
    }

    void readFrom(LeaseWire.Snapshot snapshot) {
        snapshot.getQuotaRequestList()
                .forEach(request -> requests.put(
                        request.getMember(), new QuotaRequest(request.getEntry(), request.getThousandths())));
        snapshot.getQuotaZoneList().forEach(told -> zones.put(told.getMember(), told.getZone()));
        snapshot.getQuotaGrantList()
                .forEach(grant -> grants.put(
                        grant.getNumber(),
                        new QuotaGrant(grant.getGrantee(), grant.getRequestEntry(), grant.getThousandths())));
    }
}
