package pewtercourse;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import pewtercourse.admin.ClusterCalls;
import pewtercourse.admin.Operations.Verdict;
import pewtercourse.cluster.ClusterHost;
import pewtercourse.cluster.ClusterMember;
import pewtercourse.config.ClusterConfig;
import pewtercourse.director.Director;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;
import pewtercourse.handover.OperatorState;
import pewtercourse.lease.Command;
import pewtercourse.lease.MaintenanceRequest;

/**
 * Connects a director with its cluster: operators' calls are proposed to the cluster, and the state that the cluster
 * commits is applied to the director.
 */
final class ClusterBridge implements ClusterCalls, ClusterHost {
    private final Director director;
    private final ClusterMember cluster;
    private double quotaFactor = 1;

    ClusterBridge(Vertx vertx, ClusterConfig config, Director director) {
        this.director = director;
        this.cluster = new ClusterMember(vertx, config, this);
        if (config.sites() != null) {
            director.setSites(config.sites());
        }
    }

    Future<Void> start() {
        return cluster.start();
    }

    void close() {
        cluster.close();
    }

    /** Sets whether this director may become the leader or hold leases. */
    void setEligible(boolean eligible) {
        cluster.setEligible(eligible);
    }

    boolean handoverComplete() {
        return cluster.handoverComplete();
    }

    // ---- Operators' calls ----

    /** Drains a cache: completes once the cluster has agreed and, if there is a maintenance budget, has granted it. */
    Future<Verdict> drainCache(String target) {
        long now = WallClock.unixMillis();
        if (!cluster.hasMaintenanceBudget()) {
            return propose(
                    "operator.out", target, () -> new Command.DrainCache(target, now, lastOperatorCommand(target)));
        }
        return propose(
                        "operator.asked",
                        target,
                        () -> new Command.RequestMaintenance(target, zoneOf(target), now, lastOperatorCommand(target)))
                .compose(verdict -> {
                    if (verdict != Verdict.DONE) {
                        return Future.succeededFuture(verdict);
                    }
                    return cluster.awaitMaintenanceGrant(target)
                            .compose(granted ->
                                    granted ? Future.succeededFuture(Verdict.DONE) : refuseMaintenance(target));
                });
    }

    // Refuses a request that was not granted in time: it stays queued, or it is cancelled where requests don't queue.
    private Future<Verdict> refuseMaintenance(String target) {
        MaintenanceRequest request =
                cluster.state().maintenanceRequestFor(target).orElse(null);
        if (request == null || cluster.queuesMaintenanceRequests()) {
            long requestsAhead = request == null
                    ? 0
                    : cluster.state().maintenanceRequests().headMap(request.number()).values().stream()
                            .filter(other -> !other.granted() && other.zone().equals(request.zone()))
                            .count();
            return Future.succeededFuture(Verdict.refused(
                    "not drained: its zone has reached the maintenance limit; the request is queued behind "
                            + requestsAhead + " others: repeat the call, or cancel it with maintenance/exit"));
        }
        Command cancel = new Command.CancelMaintenance(target, request.number(), 0, WallClock.unixMillis());
        return cluster.propose(() -> cancel)
                .map(outcome -> Verdict.refused("not drained: its zone has reached the maintenance limit"))
                .otherwise(e ->
                        Verdict.refused("not drained yet, but the request may still be granted: " + e.getMessage()));
    }

    Future<Verdict> reinstateCache(String target) {
        long now = WallClock.unixMillis();
        return propose(
                "operator.in", target, () -> new Command.ReinstateCache(target, now, lastOperatorCommand(target)));
    }

    private long lastOperatorCommand(String target) {
        return cluster.state().lastOperatorCommand(target);
    }

    private Future<Verdict> propose(String event, String target, Supplier<Command> command) {
        return cluster.propose(command)
                .map(outcome -> outcome.rejectionText().map(Verdict::refused).orElse(Verdict.DONE))
                .otherwise(e -> Verdict.refused("the cluster did not agree: " + e.getMessage()))
                .onSuccess(verdict -> {
                    if (verdict.refused() == null) {
                        Log.info(event, "target", target);
                    } else {
                        Log.warn("operator.refused", "call", event, "target", target, "why", verdict.refused());
                    }
                });
    }

    /** Formats the cluster's metrics, one line NAME=VALUE for each. */
    String formatMetrics() {
        StringBuilder text = new StringBuilder();
        cluster.metrics()
                .forEach((name, value) ->
                        text.append(name).append('=').append(value).append('\n'));
        return text.toString();
    }

    @Override
    public Future<JsonObject> status() {
        return cluster.confirmLeadership().map(cluster::status);
    }

    @Override
    public String ownZone() {
        return director.ownZone();
    }

    @Override
    public Future<String> handOn(String duty, String to) {
        return cluster.transferLease(duty, to)
                .map(outcome -> outcome.rejectionText().orElse(null));
    }

    @Override
    public String transfer(String to) {
        return cluster.transferLeadership(to).rejection();
    }

    @Override
    public String add(String name, String address) {
        return cluster.addMember(name, address).rejection();
    }

    @Override
    public String remove(String name) {
        return cluster.removeMember(name).rejection();
    }

    // ---- Sites ----

    /** Applies a new sites file, which is already checked. */
    void updateSites(Sites sites) {
        director.setSites(sites);
        cluster.updateSites(sites);
    }

    @Override
    public JsonObject sites() {
        return cluster.sitesStatus();
    }

    @Override
    public Future<String> site(String call, String name) {
        if (!cluster.knowsSite(name)) {
            return Future.succeededFuture("'" + name + "' is no site of the file");
        }
        return cluster.propose(() -> {
                    long lastChangeIndex =
                            cluster.state().failover().status(name).lastChangeIndex();
                    return switch (call) {
                        case "drill" -> new Command.StartFailoverDrill(name, lastChangeIndex);
                        case "hold" -> new Command.PauseSiteRecovery(name, true, lastChangeIndex);
                        default -> new Command.PauseSiteRecovery(name, false, lastChangeIndex);
                    };
                })
                .map(outcome -> outcome.rejectionText().orElse(null))
                .onSuccess(why -> Log.info("operator.site", "call", call, "site", name, "why", why));
    }

    // ---- Callbacks of the cluster ----

    @Override
    public Map<String, SiteObservation> siteObservations() {
        return director.siteObservations();
    }

    @Override
    public void failoverChanged(FailoverState failover, Set<String> absent) {
        director.applyFailoverState(failover, absent);
    }

    @Override
    public void drainsChanged(Map<String, Long> drained, Map<String, Long> reinstated) {
        director.applyOperatorState(new OperatorState(ProcessHandle.current().pid(), false, drained, reinstated));
    }

    @Override
    public String zoneOf(String target) {
        return director.zoneOf(target);
    }

    @Override
    public int zoneSize(String zone) {
        return director.zoneSize(zone);
    }

    @Override
    public void setQuotaFactor(double factor) {
        if (factor != quotaFactor) {
            quotaFactor = factor;
            director.setQuotaFactor(factor);
        }
    }

    @Override
    public double wantedQuota() {
        return director.wantedQuota();
    }
}
