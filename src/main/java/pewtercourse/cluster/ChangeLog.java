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

/** Writes changes of what is agreed to the log, each once. */
final class ChangeLog {
    private final Set<String> regressedMembers = new HashSet<>();
    private final Map<String, Long> tokens = new HashMap<>(); // By duty.
    private final Map<String, SiteStatus> statuses = new HashMap<>(); // By site.
    private String leader = "";

    void write(Raft raft, ClusterState state) {
        writeLeader(raft);
        raft.regressed().forEach(this::writeRegressed);
        state.leases().forEach(this::writeHolder);
    }

    private void writeLeader(Raft raft) {
        String now = raft.leader() == null ? "" : raft.leader();
        if (!now.equals(leader)) {
            leader = now;
            Log.info("cluster.leader", "name", now.isEmpty() ? "none" : now, "term", raft.term());
        }
    }

    private void writeRegressed(String member) {
        if (regressedMembers.add(member)) {
            Log.warn("cluster.member_regressed", "name", member);
        }
    }

    private void writeHolder(String name, LeaseRecord duty) {
        Long before = tokens.put(name, duty.token());
        if (!Long.valueOf(duty.token()).equals(before)) {
            String holder = duty.holder().isEmpty() ? "none" : duty.holder();
            Log.info("duty.assigned", "duty", name, "holder", holder, "token", duty.token());
        }
    }

    void writeSite(String name, SiteStatus status) {
        if (status.equals(statuses.put(name, status))) {
            return;
        }
        Log.info(
                "site.status",
                "site",
                name,
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
