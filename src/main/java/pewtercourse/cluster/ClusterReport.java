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
 * What operators read of a member and of what is agreed, put together at the time of the call. Changes nothing.
 *
 * @param raft null while the member's folder is not open
 * @param leaseManager null until the folder was first opened, as {@code net}
 */
record ClusterReport(ClusterConfig config, Raft raft, LeaseManager leaseManager, MemberTransport net) {
    private ClusterState agreed() {
        return leaseManager == null ? new ClusterState() : leaseManager.state();
    }

    /**
     * How each site stands, what its clients ask for, and what happens if it is lost as well as those that are away now.
     */
    JsonObject sites(Sites sites) {
        FailoverState failover = agreed().failover();
        Map<String, Double> loads = leaseManager == null ? Map.of() : leaseManager.siteLoads();
        JsonArray all = new JsonArray();
        sites.byName().forEach((name, site) -> all.add(site(failover, name, site, loads.getOrDefault(name, 0.0))));
        return new JsonObject()
                .put("open", raft != null)
                .put("controller", agreed().lease(LeaseNames.SITES).holder())
                .put("leader", raft == null ? null : raft.leader())
                .put("planned", failover.plan().cases().size())
                .put("sites", all);
    }

    private static JsonObject site(FailoverState failover, String name, Site site, double load) {
        SiteStatus status = failover.status(name);
        Set<String> lost = new TreeSet<>(failover.divertedSites());
        lost.add(name);
        FailoverPlan.Distribution shares =
                failover.plan().distributions(lost).getOrDefault(name, FailoverPlan.Distribution.EMPTY);
        JsonArray takers = new JsonArray();
        shares.allocations()
                .forEach(part -> takers.add(new JsonObject()
                        .put("site", part.site())
                        .put("work", part.load())
                        .put("most", part.max())));
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

    /** Metrics by name; {@code applied}: the last entry that was applied. */
    Map<String, Long> metrics(long now, long applied, int pendingProposals, long diskFailures) {
        Map<String, Long> metrics = new LinkedHashMap<>();
        metrics.put("cluster.open", raft == null ? 0L : 1);
        metrics.put("cluster.disk_failures", diskFailures);
        if (raft != null) {
            addRaftMetrics(metrics, now, applied);
            metrics.put("cluster.calls_waiting", (long) pendingProposals);
            metrics.put("cluster.dropped_frames", net.droppedFrames());
            addLeaseMetrics(metrics, now);
        }
        return metrics;
    }

    private void addRaftMetrics(Map<String, Long> metrics, long now, long applied) {
        boolean leads = raft.role() == Raft.Role.LEADER;
        metrics.put("cluster.leads", leads ? 1L : 0);
        metrics.put("cluster.leader_known", raft.leader() == null ? 0L : 1);
        metrics.put("cluster.term", raft.term());
        metrics.put("cluster.commit", raft.commit());
        metrics.put("cluster.applied", applied);
        metrics.put("cluster.members", (long) raft.members().all().size());
        if (leads) {
            metrics.put("cluster.members_heard", (long) raft.heard(now).size());
        }
    }

    private void addLeaseMetrics(Map<String, Long> metrics, long now) {
        ClusterState agreed = agreed();
        metrics.put(
                "duty.held",
                config.duties().leaseNames().stream()
                        .filter(duty -> leaseManager.validToken(duty, now) > 0)
                        .count());
        metrics.put("duty.acts", leaseManager.orderCount());
        metrics.put("duty.part_thousandths", leaseManager.quotaThousandths(now));
        metrics.put("duty.lent_thousandths", agreed.grantedQuotaThousandths());
        metrics.put("duty.out", (long) agreed.drainedCaches().size());
        metrics.put(
                "duty.waiting",
                agreed.maintenanceRequests().values().stream()
                        .filter(ticket -> !ticket.granted())
                        .count());
    }

    /** {@code confirmed}: whether a majority has just said that nothing newer is agreed. */
    JsonObject status(long now, long applied, boolean confirmed) {
        JsonObject json = new JsonObject().put("cluster", config.cluster()).put("name", config.name());
        if (raft == null) {
            return json.put("open", false);
        }
        ClusterState agreed = agreed();
        return json.put("open", true)
                .put("role", lowerCase(raft.role()))
                .put("leader", raft.leader())
                .put("term", raft.term())
                .put("commit", raft.commit())
                .put("applied", applied)
                .put("snapshot", raft.snapshotIndex())
                .put("confirmed", confirmed)
                .put("removed", raft.stranger())
                .put("members", members(now))
                .put("duties", leases(now))
                .put("out", new JsonObject(new TreeMap<>(agreed.drainedCaches())))
                .put("tickets", tickets())
                .put("part", leaseManager.quotaThousandths(now))
                .put("lent", agreed.grantedQuotaThousandths())
                .put("dropped_frames", net.droppedFrames());
    }

    // A member is listed until its removal is agreed, and as a voter once its promotion is: operators stop others by
    // it.
    private JsonArray members(long now) {
        Map<String, Long> lag = raft.lag();
        Set<String> heard = raft.role() == Raft.Role.LEADER ? raft.heard(now) : null;
        Set<String> names = new TreeSet<>(raft.agreedMembers().all().keySet());
        names.addAll(raft.members().all().keySet());
        JsonArray members = new JsonArray();
        for (String name : names) {
            members.add(new JsonObject()
                    .put("name", name)
                    .put("voter", raft.agreedVoter(name))
                    .put("lag", lag.get(name))
                    .put("heard", heard == null ? null : heard.contains(name)));
        }
        return members;
    }

    private JsonArray leases(long now) {
        JsonArray leases = new JsonArray();
        for (String name : new TreeSet<>(agreed().leases().keySet())) {
            LeaseRecord duty = agreed().lease(name);
            boolean own = duty.holder().equals(config.name());
            leases.add(new JsonObject()
                    .put("duty", name)
                    .put("holder", duty.holder())
                    .put("token", duty.token())
                    .put("left_ms", own ? leaseManager.remainingMicros(name, now) / 1_000 : null));
        }
        return leases;
    }

    private JsonArray tickets() {
        JsonArray tickets = new JsonArray();
        agreed().maintenanceRequests()
                .values()
                .forEach(ticket -> tickets.add(new JsonObject()
                        .put("target", ticket.target())
                        .put("zone", ticket.zone())
                        .put("by", ticket.requestedBy())
                        .put("out", ticket.granted())));
        return tickets;
    }
}
