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
 * Failover of sites at this member: reports what its director observes of them, has failover plans made off the event
 * loop, and tells the director what was agreed. Does nothing where no sites are configured.
 *
 * <p>Mutable state: the sites as configured, which failover state and absent members the director was told last, and when
 * observations are reported next. Event loop only; a plan is made on a worker thread from immutable input.
 */
final class SiteDriver {
    private static final long NONE_PUBLISHED = -1;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000;

    private final Vertx vertx;
    private final MemberClock clock;
    private final ClusterHost host;
    private final ClusterChangeLogger changeLogger;
    private Sites sites; // Null where none are configured.
    private long publishedFailover = NONE_PUBLISHED;
    private Set<String> publishedAbsent = Set.of();
    private long nextReportAt;

    SiteDriver(MemberEnvironment environment, ClusterHost host, ClusterChangeLogger changeLogger) {
        this.vertx = environment.vertx();
        this.clock = environment.clock();
        this.host = host;
        this.changeLogger = changeLogger;
        this.sites = environment.config().sites();
    }

    /** Null where none are configured. */
    Sites sites() {
        return sites;
    }

    /** Sites as a new file describes them, from now on. */
    void update(Sites newSites) {
        sites = newSites;
        republish();
    }

    /** Gives the present sites to a member's lease manager. */
    void configure(LeaseManager leaseManager) {
        if (sites != null) {
            leaseManager.configureSites(clock.now(), sites);
        }
    }

    /** The director is told anew at the next {@link #publish}, whatever it was told before. */
    void republish() {
        publishedFailover = NONE_PUBLISHED;
    }

    /** Tells the director, and the log, what was agreed on sites since the last call. */
    void publish(ClusterState state) {
        FailoverState failover = state.failover();
        if (sites == null
                || failover.version() == publishedFailover
                        && state.absentMembers().equals(publishedAbsent)) {
            return;
        }
        publishedFailover = failover.version();
        publishedAbsent = Set.copyOf(state.absentMembers());
        failover.statuses().forEach(changeLogger::writeSite);
        host.failoverChanged(failover, publishedAbsent);
    }

    /** Offers this director's observations to the log, once a second. Lost ones are not offered again: newer ones follow. */
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

    /** Has a plan made where one is due. Off the event loop: it takes some milliseconds for many sites. */
    void makePlan(LeaseManager leaseManager, Consumer<FailoverPlan> whenMade) {
        FailoverPlanRequest request =
                sites == null ? null : leaseManager.planInput(clock.now()).orElse(null);
        if (request == null) {
            return;
        }
        Sites planned = sites;
        vertx.executeBlocking(() -> new FailoverPlanner().plan(planned, request))
                .onComplete(plan -> {
                    if (plan.failed()) {
                        Log.warn("site.not_planned", "error", plan.cause());
                    } else if (planned == sites) { // Else it is a plan for sites that have changed meanwhile.
                        whenMade.accept(plan.result());
                    }
                });
    }
}
