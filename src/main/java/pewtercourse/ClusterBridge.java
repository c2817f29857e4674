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

/** A director and its cluster: what operators tell the one is agreed by the other, and comes back to count. */
final class ClusterBridge implements ClusterCalls, ClusterHost {
    private final Director director;
    private final ClusterMember cluster;
    private double part = 1;

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

    void willing(boolean on) {
        cluster.setEligible(on);
    }

    boolean handedOn() {
        return cluster.handoverComplete();
    }

    // ---- What operators say ----

    /** Agreed, and granted as well where there is a maintenance budget; done once this director goes by it. */
    Future<Verdict> takeOut(String target) {
        long now = System.currentTimeMillis();
        if (!cluster.hasMaintenanceBudget()) {
            return agreed("operator.out", target, () -> new Command.DrainCache(target, now, lastWord(target)));
        }
        return agreed(
                        "operator.asked",
                        target,
                        () -> new Command.RequestMaintenance(target, zoneOf(target), now, lastWord(target)))
                .compose(v -> {
                    if (v != Verdict.DONE) {
                        return Future.succeededFuture(v);
                    }
                    return cluster.awaitMaintenanceGrant(target)
                            .compose(let -> let ? Future.succeededFuture(Verdict.DONE) : turnedDown(target));
                });
    }

    // It is not out, and whoever asked is told so: its place in the line is kept, or given up.
    private Future<Verdict> turnedDown(String target) {
        MaintenanceRequest t = cluster.state().maintenanceRequestFor(target).orElse(null);
        if (t == null || cluster.queuesMaintenanceRequests()) {
            long before = t == null
                    ? 0
                    : cluster.state().maintenanceRequests().headMap(t.number()).values().stream()
                            .filter(o -> !o.granted() && o.zone().equals(t.zone()))
                            .count();
            return Future.succeededFuture(Verdict.refused("not out: as many of its zone are out as may be; it waits, "
                    + before + " before it: call again, or call it back"));
        }
        Command withdraw = new Command.CancelMaintenance(target, t.number(), 0, System.currentTimeMillis());
        return cluster.propose(() -> withdraw)
                .map(r -> Verdict.refused("not out: as many of its zone are out as may be"))
                .otherwise(e -> Verdict.refused("not out yet, and may be later: " + e.getMessage()));
    }

    Future<Verdict> putBack(String target) {
        long now = System.currentTimeMillis();
        return agreed("operator.in", target, () -> new Command.ReinstateCache(target, now, lastWord(target)));
    }

    private long lastWord(String target) {
        return cluster.state().lastOperatorCommand(target);
    }

    private Future<Verdict> agreed(String event, String target, Supplier<Command> word) {
        return cluster.propose(word)
                .map(r -> r.rejectionText().map(Verdict::refused).orElse(Verdict.DONE))
                .otherwise(e -> Verdict.refused("not agreed: " + e.getMessage()))
                .onSuccess(v -> {
                    if (v.refused() == null) {
                        Log.info(event, "target", target);
                    } else {
                        Log.warn("operator.refused", "call", event, "target", target, "why", v.refused());
                    }
                });
    }

    /** Figures of the cluster, a line for each, NAME=VALUE. */
    String figures() {
        StringBuilder out = new StringBuilder();
        cluster.metrics()
                .forEach((name, value) ->
                        out.append(name).append('=').append(value).append('\n'));
        return out.toString();
    }

    @Override
    public Future<JsonObject> status() {
        return cluster.confirmLeadership().map(cluster::status);
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

    /** A new file of sites, already checked. */
    void sites(Sites to) {
        director.setSites(to);
        cluster.updateSites(to);
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
                    long after = cluster.state().failover().status(name).lastChangeIndex();
                    return switch (call) {
                        case "drill" -> new Command.StartFailoverDrill(name, after);
                        case "hold" -> new Command.PauseSiteRecovery(name, true, after);
                        default -> new Command.PauseSiteRecovery(name, false, after);
                    };
                })
                .map(outcome -> outcome.rejectionText().orElse(null))
                .onSuccess(why -> Log.info("operator.site", "call", call, "site", name, "why", why));
    }

    // ---- What the cluster asks ----

    @Override
    public Map<String, SiteObservation> siteObservations() {
        return director.siteObservations();
    }

    @Override
    public void failoverChanged(FailoverState failover, Set<String> absent) {
        director.applyFailoverState(failover, absent);
    }

    @Override
    public void drainsChanged(Map<String, Long> out, Map<String, Long> back) {
        director.applyOperatorState(new OperatorState(ProcessHandle.current().pid(), false, out, back));
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
        if (factor != part) {
            part = factor;
            director.setQuotaFactor(factor);
        }
    }

    @Override
    public double wantedQuota() {
        return director.wantedQuota();
    }
}
