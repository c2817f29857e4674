package pewtercourse.cluster;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pewtercourse.config.ClusterConfig;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.Site;
import pewtercourse.failover.SiteStatus;
import pewtercourse.failover.Sites;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.LeaseManager;
import pewtercourse.lease.LeaseNames;
import pewtercourse.lease.LeaseRecord;
import pewtercourse.raft.Raft;
import pewtercourse.raft.net.MemberTransport;

/**
 * Builds the status and the metrics that operators read, from the member's current and committed state. Read-only.
 *
 * @param raft null while the member's data folder is not open
 * @param leaseManager null until the data folder was first opened
 * @param net null until the data folder was first opened
 */
record ClusterReport(ClusterConfig config, Raft raft, LeaseManager leaseManager, MemberTransport net) {
    private ClusterState committedState() {
        return leaseManager == null ? new ClusterState() : leaseManager.state();
    }

    /**
     * Returns the status and load of each site, and how its load would be distributed if it were lost in addition to
     * the sites that are diverted now.
     */
    JsonObject sites(Sites sites) {
        FailoverState failover = committedState().failover();
        Map<String, Double> loads = leaseManager == null ? Map.of() : leaseManager.siteLoads();
        JsonArray siteReports = new JsonArray();
        sites.byName()
                .forEach((name, site) -> siteReports.add(site(failover, name, site, loads.getOrDefault(name, 0.0))));
        return new JsonObject()
                .put("open", raft != null)
                .put("controller", committedState().lease(LeaseNames.SITES).holder())
                .put("leader", raft == null ? null : raft.leader())
                .put("planned", failover.plan().cases().size())
                .put("sites", siteReports);
    }

    private static JsonObject site(FailoverState failover, String name, Site site, double load) {
        SiteStatus status = failover.status(name);
        Set<String> lost = new TreeSet<>(failover.divertedSites());
        lost.add(name);
        FailoverPlan.Distribution shares =
                failover.plan().distributions(lost).getOrDefault(name, FailoverPlan.Distribution.EMPTY);
        JsonArray takers = new JsonArray();
        shares.allocations()
                .forEach(allocation -> takers.add(new JsonObject()
                        .put("site", allocation.site())
                        .put("work", allocation.load())
                        .put("most", allocation.max())));
        return new JsonObject()
                .put("site", name)
                .put("phase", lowerCase(status.phase()))
                .put("health", lowerCase(status.health()))
                .put("step", status.step())
                .put("flaps", status.flaps())
                .put("held", status.held())
                .put("drill", status.drill())
                .put("load", load)
                .put("capacity", site.capacity())
                .put("spare", site.spareCapacity(load))
                .put("takers", takers)
                .put("refused", shares.rejected());
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the metrics by name. {@code appliedIndex} is the index of the last applied log entry. */
    Map<String, Long> metrics(long now, long appliedIndex, int pendingProposals, long diskFailures) {
        Map<String, Long> metrics = new LinkedHashMap<>();
        metrics.put("cluster.open", raft == null ? 0L : 1);
        metrics.put("cluster.disk_failures", diskFailures);
        if (raft != null) {
            addRaftMetrics(metrics, now, appliedIndex);
            metrics.put("cluster.calls_waiting", (long) pendingProposals);
            metrics.put("cluster.dropped_frames", net.droppedFrames());
            addLeaseMetrics(metrics, now);
        }
        return metrics;
    }

    private void addRaftMetrics(Map<String, Long> metrics, long now, long appliedIndex) {
        boolean isLeader = raft.role() == Raft.Role.LEADER;
        metrics.put("cluster.leads", isLeader ? 1L : 0);
        metrics.put("cluster.leader_known", raft.leader() == null ? 0L : 1);
        metrics.put("cluster.term", raft.term());
        metrics.put("cluster.commit", raft.commitIndex());
        metrics.put("cluster.applied", appliedIndex);
        metrics.put("cluster.members", (long) raft.members().all().size());
        if (isLeader) {
            metrics.put("cluster.members_heard", (long) raft.recentlyActive(now).size());
        }
    }

    private void addLeaseMetrics(Map<String, Long> metrics, long now) {
        ClusterState state = committedState();
        metrics.put(
                "duty.held",
                config.duties().leaseNames().stream()
                        .filter(lease -> leaseManager.validToken(lease, now) > 0)
                        .count());
        metrics.put("duty.acts", leaseManager.orderCount());
        metrics.put("duty.part_thousandths", leaseManager.quotaThousandths(now));
        metrics.put("duty.lent_thousandths", state.grantedQuotaThousandths());
        metrics.put("duty.out", (long) state.drainedCaches().size());
        metrics.put(
                "duty.waiting",
                state.maintenanceRequests().values().stream()
                        .filter(request -> !request.granted())
                        .count());
    }

    /**
     * Returns the member's status. {@code confirmed}: a majority has just confirmed that nothing newer is committed.
     */
    JsonObject status(long now, long appliedIndex, boolean confirmed) {
        JsonObject json = new JsonObject().put("cluster", config.cluster()).put("name", config.name());
        if (raft == null) {
            return json.put("open", false);
        }
        ClusterState state = committedState();
        return json.put("open", true)
                .put("role", lowerCase(raft.role()))
                .put("leader", raft.leader())
                .put("term", raft.term())
                .put("commit", raft.commitIndex())
                .put("applied", appliedIndex)
                .put("snapshot", raft.snapshotIndex())
                .put("confirmed", confirmed)
                .put("removed", raft.isNonMember())
                .put("members", members(now))
                .put("duties", leases(now))
                .put("out", new JsonObject(new TreeMap<>(state.drainedCaches())))
                .put("tickets", maintenanceRequests())
                .put("part", leaseManager.quotaThousandths(now))
                .put("lent", state.grantedQuotaThousandths())
                .put("dropped_frames", net.droppedFrames());
    }

    // Lists a member until its removal is committed, and as a voter once its promotion is committed. Operators rely on
    // this list when they stop other members.
    private JsonArray members(long now) {
        Map<String, Long> lagByMember = raft.lag();
        Set<String> activeMembers = raft.role() == Raft.Role.LEADER ? raft.recentlyActive(now) : null;
        Set<String> names = new TreeSet<>(raft.committedMembers().all().keySet());
        names.addAll(raft.members().all().keySet());
        JsonArray members = new JsonArray();
        for (String name : names) {
            members.add(new JsonObject()
                    .put("name", name)
                    .put("voter", raft.isCommittedVoter(name))
                    .put("lag", lagByMember.get(name))
                    .put("heard", activeMembers == null ? null : activeMembers.contains(name)));
        }
        return members;
    }

    private JsonArray leases(long now) {
        JsonArray leases = new JsonArray();
        for (String name : new TreeSet<>(committedState().leases().keySet())) {
            LeaseRecord lease = committedState().lease(name);
            boolean isOwn = lease.holder().equals(config.name());
            leases.add(new JsonObject()
                    .put("duty", name)
                    .put("holder", lease.holder())
                    .put("token", lease.token())
                    .put("left_ms", isOwn ? leaseManager.remainingMicros(name, now) / 1_000 : null));
        }
        return leases;
    }

    private JsonArray maintenanceRequests() {
        JsonArray requests = new JsonArray();
        committedState()
                .maintenanceRequests()
                .values()
                .forEach(request -> requests.add(new JsonObject()
                        .put("target", request.target())
                        .put("zone", request.zone())
                        .put("by", request.requestedBy())
                        .put("out", request.granted())));
        return requests;
    }
}
