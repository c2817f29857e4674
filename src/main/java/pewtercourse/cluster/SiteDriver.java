package pewtercourse.cluster;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pewtercourse.Log;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.FailoverPlanRequest;
import pewtercourse.failover.FailoverPlanner;
import pewtercourse.failover.FailoverState;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.Sites;
import pewtercourse.lease.ClusterState;
import pewtercourse.lease.Command;
import pewtercourse.lease.CommandCodec;
import pewtercourse.lease.LeaseManager;

/**
 * Handles failover of sites at this member: reports the director's observations of sites, computes failover plans off
 * the event loop, and passes the committed failover state to the director. Does nothing where no sites are configured.
 *
 * <p>Mutable state: the configured sites, the failover state and absent members published last to the director, and
 * the time of the next report. Event loop only; plans are computed on a worker thread from immutable input.
 */
final class SiteDriver {
    private static final long NONE_PUBLISHED = -1;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000;

    private final Vertx vertx;
    private final MemberClock clock;
    private final ClusterHost host;
    private final ClusterChangeLogger changeLogger;
    private Sites sites; // Null if none are configured.
    private long publishedFailoverVersion = NONE_PUBLISHED;
    private Set<String> publishedAbsent = Set.of();
    private long nextReportAt;

    SiteDriver(MemberEnvironment environment, ClusterHost host, ClusterChangeLogger changeLogger) {
        this.vertx = environment.vertx();
        this.clock = environment.clock();
        this.host = host;
        this.changeLogger = changeLogger;
        this.sites = environment.config().sites();
    }

    /** Returns the configured sites; null if there are none. */
    Sites sites() {
        return sites;
    }

    /** Replaces the sites' configuration, after their file has changed. */
    void update(Sites newSites) {
        sites = newSites;
        republish();
    }

    /** Passes the current sites to a member's lease manager. */
    void configure(LeaseManager leaseManager) {
        if (sites != null) {
            leaseManager.configureSites(clock.now(), sites);
        }
    }

    /** Makes the next {@link #publish} notify the director even if nothing has changed. */
    void republish() {
        publishedFailoverVersion = NONE_PUBLISHED;
    }

    /** Passes changes of the committed failover state since the last call to the director, and logs them. */
    void publish(ClusterState state) {
        FailoverState failover = state.failover();
        if (sites == null
                || failover.version() == publishedFailoverVersion
                        && state.absentMembers().equals(publishedAbsent)) {
            return;
        }
        publishedFailoverVersion = failover.version();
        publishedAbsent = Set.copyOf(state.absentMembers());
        failover.statuses().forEach(changeLogger::writeSite);
        host.failoverChanged(failover, publishedAbsent);
    }

    /**
     * Proposes this director's observations once a second. A lost report is not proposed again: a newer one follows.
     */
    void reportObservations(long now, LeaseManager leaseManager, RaftDriver driver) {
        if (sites == null || now < nextReportAt) {
            return;
        }
        nextReportAt = now + REPORT_INTERVAL_MICROS;
        Map<String, SiteObservation> observations = host.siteObservations();
        if (!observations.isEmpty()) {
            Command.Envelope report = leaseManager.reportObservations(observations);
            driver.offer(CommandCodec.encode(report), report.id());
        }
    }

    /** Computes a plan if one is due, off the event loop: it takes some milliseconds for many sites. */
    void makePlan(LeaseManager leaseManager, Consumer<FailoverPlan> onPlanComputed) {
        if (sites != null) {
            leaseManager.planInput(clock.now()).ifPresent(request -> makePlan(request, onPlanComputed));
        }
    }

    private void makePlan(FailoverPlanRequest request, Consumer<FailoverPlan> onPlanComputed) {
        Sites plannedSites = sites;
        vertx.executeBlocking(() -> new FailoverPlanner().plan(plannedSites, request))
                .onComplete(plan -> {
                    if (plan.failed()) {
                        Log.warn("site.not_planned", "error", plan.cause());
                    } else if (plannedSites == sites) { // Otherwise the plan is out of date.
                        onPlanComputed.accept(plan.result());
                    }
                });
    }
}
