package pewtercourse.lease;

import java.util.Map;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatusChange;

/**
 * A change of the replicated {@link ClusterState}, effective once the members have agreed on it. Orders of a lease
 * holder carry its fencing token; the state rejects them once the lease has a later one. A command that is delivered
 * twice changes nothing the second time. Entries are indexes of the replicated log.
 */
public sealed interface Command {
    /** Calls the method of {@code visitor} for this kind of command. */
    <R> R accept(Visitor<R> visitor);

    /**
     * By the leader: the lease gets a new holder, unless it was renewed or assigned since.
     *
     * @param token    fencing token of the lease that the leader has judged to be vacant
     * @param renewals renewals of that lease which the leader has seen
     */
    record AssignLease(String lease, String holder, long token, long renewals) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.assignLease(this);
        }
    }

    /** By the holder: its lease begins anew. {@code renewals}: as many as there have been so far. */
    record RenewLease(String lease, long token, long renewals) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.renewLease(this);
        }
    }

    /** By the holder, which has stopped acting. {@code successor}: the next holder, or empty for any. */
    record ReleaseLease(String lease, long token, String successor) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.releaseLease(this);
        }
    }

    /** The holder of this token is to release the lease to {@code preferredHolder}, or to any member if that is empty. */
    record RequestTransfer(String lease, long token, String preferredHolder) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestTransfer(this);
        }
    }

    /** By the leader: the member has not been heard for long ({@code absent}), or is heard again. */
    record ReportAbsence(String member, boolean absent) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reportAbsence(this);
        }
    }

    /**
     * By an operator: the cache is drained.
     *
     * @param atUnixMs      when the operator said so, Unix milliseconds
     * @param expectedEntry entry of the last operator command on this cache that the proposer has applied, 0 for none;
     *                      the command is rejected if there is a later one
     */
    record DrainCache(String target, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.drainCache(this);
        }
    }

    /** By an operator: the cache may serve again. Components as in {@link DrainCache}. */
    record ReinstateCache(String target, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reinstateCache(this);
        }
    }

    /** By an operator: drain the cache as soon as the maintenance budget allows it. See {@link DrainCache}. */
    record RequestMaintenance(String target, String zone, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestMaintenance(this);
        }
    }

    /** By the holder of the maintenance lease: the cache of this request is drained from now on. */
    record GrantMaintenance(String target, long request, long token, long atUnixMs) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.grantMaintenance(this);
        }
    }

    /**
     * Removes a maintenance request, and reinstates its cache if it was granted.
     *
     * @param token that of the maintenance lease; or 0, by the member that has requested it and while it is not granted
     */
    record CancelMaintenance(String target, long request, long token, long atUnixMs) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.cancelMaintenance(this);
        }
    }

    /** The proposer could use this much more quota, in thousandths of one director's share; 0 or less for none. */
    record RequestQuota(long thousandths) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestQuota(this);
        }
    }

    /**
     * By the holder of the quota lease.
     *
     * @param requestEntry entry of the quota request that this answers
     * @param pool         thousandths that may be granted to all members at once
     */
    record GrantQuota(String grantee, long requestEntry, long thousandths, long token, long pool) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.grantQuota(this);
        }
    }

    /** By the holder of the quota lease: the grant of this entry has expired at its grantee for certain. */
    record ReleaseQuota(long grant, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.releaseQuota(this);
        }
    }

    /** Whether the proposer takes leases: not while it drains or stands by. */
    record SetEligibility(boolean eligible) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.setEligibility(this);
        }
    }

    /** What the proposer has lately seen of each site. The state keeps none of it; each member judges by it. */
    record ReportSiteObservation(Map<String, SiteObservation> observations) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reportSiteObservation(this);
        }
    }

    /** By the holder of the sites lease. */
    record ChangeSiteStatus(SiteStatusChange change, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.changeSiteStatus(this);
        }
    }

    /** By the holder of the sites lease: where the load of lost sites goes. */
    record PublishFailoverPlan(FailoverPlan plan, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.publishFailoverPlan(this);
        }
    }

    /**
     * By an operator: the site is kept from recovering ({@code paused}), or may recover.
     *
     * @param expectedEntry entry of the last change of this site's status that the proposer has applied
     */
    record PauseSiteRecovery(String site, boolean paused, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.pauseSiteRecovery(this);
        }
    }

    /** By an operator: the load of this site is moved away step by step. See {@link PauseSiteRecovery}. */
    record StartFailoverDrill(String site, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.startFailoverDrill(this);
        }
    }

    /** A command with the member that proposes it and the number that this member has given to it. */
    record Envelope(String proposer, long id, Command command) {}

    /** One method for each kind of command. */
    interface Visitor<R> {
        /** Called for {@link AssignLease}. */
        R assignLease(AssignLease command);

        /** Called for {@link RenewLease}. */
        R renewLease(RenewLease command);

        /** Called for {@link ReleaseLease}. */
        R releaseLease(ReleaseLease command);

        /** Called for {@link RequestTransfer}. */
        R requestTransfer(RequestTransfer command);

        /** Called for {@link ReportAbsence}. */
        R reportAbsence(ReportAbsence command);

        /** Called for {@link DrainCache}. */
        R drainCache(DrainCache command);

        /** Called for {@link ReinstateCache}. */
        R reinstateCache(ReinstateCache command);

        /** Called for {@link RequestMaintenance}. */
        R requestMaintenance(RequestMaintenance command);

        /** Called for {@link GrantMaintenance}. */
        R grantMaintenance(GrantMaintenance command);

        /** Called for {@link CancelMaintenance}. */
        R cancelMaintenance(CancelMaintenance command);

        /** Called for {@link RequestQuota}. */
        R requestQuota(RequestQuota command);

        /** Called for {@link GrantQuota}. */
        R grantQuota(GrantQuota command);

        /** Called for {@link ReleaseQuota}. */
        R releaseQuota(ReleaseQuota command);

        /** Called for {@link SetEligibility}. */
        R setEligibility(SetEligibility command);

        /** Called for {@link ReportSiteObservation}. */
        R reportSiteObservation(ReportSiteObservation command);

        /** Called for {@link ChangeSiteStatus}. */
        R changeSiteStatus(ChangeSiteStatus command);

        /** Called for {@link PublishFailoverPlan}. */
        R publishFailoverPlan(PublishFailoverPlan command);

        /** Called for {@link PauseSiteRecovery}. */
        R pauseSiteRecovery(PauseSiteRecovery command);

        /** Called for {@link StartFailoverDrill}. */
        R startFailoverDrill(StartFailoverDrill command);
    }
}
