package pewtercourse.lease;

import java.util.Map;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteObservation;
import pewtercourse.failover.SiteStatusChange;

/**
 * A change of the replicated {@link ClusterState}, which takes effect once the members have agreed on it. An order of a
 * lease holder carries the fencing token of the lease; the state rejects the order once the lease has a later token. A
 * command that is delivered twice changes nothing the second time. An entry is an index in the replicated log.
 */
public sealed interface Command {
    /** Calls the method of {@code visitor} for this kind of command. */
    <R> R accept(Visitor<R> visitor);

    /**
     * Proposed by the leader. Assigns a vacant lease to a new holder, unless the lease was renewed or assigned in the
     * meantime.
     *
     * @param token    fencing token of the lease that the leader found vacant
     * @param renewals number of renewals of that lease that the leader has seen
     */
    record AssignLease(String lease, String holder, long token, long renewals) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.assignLease(this);
        }
    }

    /**
     * Proposed by the holder. Renews its lease for another full duration.
     *
     * @param renewals number of renewals so far
     */
    record RenewLease(String lease, long token, long renewals) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.renewLease(this);
        }
    }

    /**
     * Proposed by the holder after it has stopped acting by the lease. Releases the lease.
     *
     * @param successor the next holder; empty for any member
     */
    record ReleaseLease(String lease, long token, String successor) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.releaseLease(this);
        }
    }

    /**
     * Requests that the holder of this token releases the lease.
     *
     * @param preferredHolder member to which it releases the lease; empty for any member
     */
    record RequestTransfer(String lease, long token, String preferredHolder) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestTransfer(this);
        }
    }

    /**
     * Proposed by the leader. Reports that it has not heard from the member for a long time ({@code absent}), or that
     * it hears from the member again.
     */
    record ReportAbsence(String member, boolean absent) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reportAbsence(this);
        }
    }

    /**
     * Issued by an operator. Drains the cache.
     *
     * @param atUnixMs      time at which the operator issued the command, Unix milliseconds
     * @param expectedEntry entry of the last operator command on this cache that the proposer has applied, 0 for none;
     *                      the command is rejected if the members have agreed on a later operator command since
     */
    record DrainCache(String target, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.drainCache(this);
        }
    }

    /** Issued by an operator. Allows the cache to serve again. For the components see {@link DrainCache}. */
    record ReinstateCache(String target, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reinstateCache(this);
        }
    }

    /**
     * Issued by an operator. Requests that the cache is drained as soon as the maintenance budget allows it. For the
     * components see {@link DrainCache}.
     */
    record RequestMaintenance(String target, String zone, long atUnixMs, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestMaintenance(this);
        }
    }

    /** Proposed by the holder of the maintenance lease. Grants a request, which drains its cache. */
    record GrantMaintenance(String target, long request, long token, long atUnixMs) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.grantMaintenance(this);
        }
    }

    /**
     * Removes a maintenance request, and reinstates its cache if the request was granted.
     *
     * @param token fencing token of the maintenance lease; or 0 if the member at which the request was made cancels it
     *              before the grant
     */
    record CancelMaintenance(String target, long request, long token, long atUnixMs) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.cancelMaintenance(this);
        }
    }

    /**
     * Requests quota for the proposer beyond what it has, and tells its zone. Replaces the proposer's open request.
     *
     * @param thousandths thousandths of one director's share; 0 or less withdraws the open request
     * @param zone        the zone whose caches the proposer serves, or "" if it has none
     */
    record RequestQuota(long thousandths, String zone) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.requestQuota(this);
        }
    }

    /**
     * Proposed by the holder of the quota lease. Grants quota to a member for a limited time.
     *
     * @param requestEntry entry of the quota request that this grant answers
     * @param pool         maximum total of the grants to all members, in thousandths
     */
    record GrantQuota(String grantee, long requestEntry, long thousandths, long token, long pool) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.grantQuota(this);
        }
    }

    /** Proposed by the holder of the quota lease. Releases a grant that has certainly expired at its grantee. */
    record ReleaseQuota(long grant, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.releaseQuota(this);
        }
    }

    /** Reports whether the proposer takes leases. It does not while it drains or is on standby. */
    record SetEligibility(boolean eligible) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.setEligibility(this);
        }
    }

    /**
     * Reports what the proposer has recently observed of each site. The state keeps nothing of it; each member passes
     * it to its own failure detector.
     */
    record ReportSiteObservation(Map<String, SiteObservation> observations) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.reportSiteObservation(this);
        }
    }

    /** Proposed by the holder of the sites lease. Changes the status of one site. */
    record ChangeSiteStatus(SiteStatusChange change, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.changeSiteStatus(this);
        }
    }

    /** Proposed by the holder of the sites lease. Publishes the plan of where the load of lost sites goes. */
    record PublishFailoverPlan(FailoverPlan plan, long token) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.publishFailoverPlan(this);
        }
    }

    /**
     * Issued by an operator. Prevents the site from recovering ({@code paused}), or allows it to recover again.
     *
     * @param expectedEntry entry of the last change of this site's status that the proposer has applied
     */
    record PauseSiteRecovery(String site, boolean paused, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.pauseSiteRecovery(this);
        }
    }

    /**
     * Issued by an operator. Moves the load of this site away step by step. For the components see
     * {@link PauseSiteRecovery}.
     */
    record StartFailoverDrill(String site, long expectedEntry) implements Command {
        @Override
        public <R> R accept(Visitor<R> visitor) {
            return visitor.startFailoverDrill(this);
        }
    }

    /** A command with the member that proposes it, and the number that this member has given the command. */
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
