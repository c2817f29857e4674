package pewtercourse.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import pewtercourse.Log;
import pewtercourse.failover.SiteStatus;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.LeaseRecord;
import pewtercourse.raft.Raft;

/**
 * Logs each change of the leader, of a lease holder and of a site's status once, and each member that has lost entries
 * of its Raft log.
 *
 * <p>Mutable state: the leader, lease tokens and site statuses logged last, and the members already logged as having
 * lost entries. Event loop only.
 */
final class ClusterChangeLogger {
    private final Set<String> regressedMembers = new HashSet<>();
    private final Map<String, Long> tokenByLease = new HashMap<>();
    private final Map<String, SiteStatus> statusBySite = new HashMap<>();
    private String leader = "";

    void write(Raft raft, ClusterState state) {
        writeLeader(raft);
        raft.membersWithLostLog().forEach(this::writeRegressed);
        state.leases().forEach(this::writeHolder);
    }

    private void writeLeader(Raft raft) {
        String current = raft.leader() == null ? "" : raft.leader();
        if (!current.equals(leader)) {
            leader = current;
            Log.info("cluster.leader", "name", current.isEmpty() ? "none" : current, "term", raft.term());
        }
    }

    private void writeRegressed(String member) {
        if (regressedMembers.add(member)) {
            Log.warn("cluster.member_regressed", "name", member);
        }
    }

    private void writeHolder(String lease, LeaseRecord record) {
        Long previousToken = tokenByLease.put(lease, record.token());
        if (!Long.valueOf(record.token()).equals(previousToken)) {
            String holder = record.holder().isEmpty() ? "none" : record.holder();
            Log.info("duty.assigned", "duty", lease, "holder", holder, "token", record.token());
        }
    }

    void writeSite(String site, SiteStatus status) {
        if (status.equals(statusBySite.put(site, status))) {
            return;
        }
        Log.info(
                "site.status",
                "site",
                site,
                "phase",
                status.phase(),
                "health",
                status.health(),
                "step",
                status.step(),
                "flaps",
                status.flaps(),
                "held",
                status.held(),
                "drill",
                status.drill(),
                "entry",
                status.lastChangeIndex());
    }
}
