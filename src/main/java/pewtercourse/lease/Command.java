package pewtercourse.lease;

import java.util.Map;
import pewtercourse.failover.FailoverController;
import pewtercourse.failover.FailoverPlan;
import pewtercourse.failover.SiteObservation;

/**
 * What members have agreed before it counts. {@code token}s are those of the duty that orders it; the state refuses
 * an older one. A command that comes twice changes nothing the second time.
 */
public sealed interface Command {
    /** The duty goes to {@code to}, if its token and renewals still are these: nobody has renewed it meanwhile. */
    record AssignLease(String duty, String to, long token, long renewals) implements Command {}

    /** By the holder: its lease begins anew. {@code renewals}: as many as there have been. */
    record RenewLease(String duty, long token, long renewals) implements Command {}

    /** By the holder, which acts no more. {@code to}: who gets it, or empty. */
    record ReleaseLease(String duty, long token, String to) implements Command {}

    /** The holder of this token is to hand on, to {@code to} or, if that is empty, to whoever is best. */
    record RequestTransfer(String duty, long token, String to) implements Command {}

    /** By the leader: it has not heard this member for long, or hears it again. */
    record ReportAbsence(String member, boolean absent) implements Command {}

    /**
     * An operator's word: this cache is out, since Unix milliseconds. {@code after}: the entry of the last word on this
     * cache that its asker knows, 0 for none; the state refuses it once there is a later one.
     */
    record DrainCache(String target, long atMs, long after) implements Command {}

    /** A member may serve again. */
    record ReinstateCache(String target, long atMs, long after) implements Command {}

    /** A cache is to be out once the maintenance budget lets it. */
    record RequestMaintenance(String target, String zone, long atMs, long after) implements Command {}

    /** By the holder of the maintenance duty: the cache with this ticket is out from now on. */
    record GrantMaintenance(String target, long ticket, long token, long atMs) implements Command {}

    /** The ticket is void, and its cache back if it was out. By the holder of the maintenance duty; or with token 0 by whoever asked for it. */
    record CancelMaintenance(String target, long ticket, long token, long atMs) implements Command {}

    /** A member could use so much more, in thousandths of what one director's part of a cold budget is. */
    record RequestQuota(long thousandths) implements Command {}

    /** By the holder of the quota duty. {@code pool}: all that may be lent at once. */
    record GrantQuota(String to, long ask, long thousandths, long token, long pool) implements Command {}

    /** By the holder of the quota duty: the loan's time is over for certain. */
    record ReleaseQuota(long loan, long token) implements Command {}

    /** Whether the member that says so takes duties: not while it drains or stands by. */
    record SetEligibility(boolean willing) implements Command {}

    /** What a member has seen of sites of late, by site. Nothing is kept of it; each member judges by it. */
    record ReportSiteObservation(Map<String, SiteObservation> siteObservations) implements Command {}

    /** By the holder of the sites duty. */
    record ChangeSiteStatus(FailoverController.Declaration what, long token) implements Command {}

    /** By the holder of the sites duty: where loads go. */
    record PublishFailoverPlan(FailoverPlan plan, long token) implements Command {}

    /** An operator's word: this site is not to return ({@code on}), or may. {@code after}: the entry of its last change. */
    record PauseSiteRecovery(String site, boolean on, long after) implements Command {}

    /** An operator's word: this site is to be lost, step by step. */
    record StartFailoverDrill(String site, long after) implements Command {}

    /** With who asked for it and its number there. */
    record Envelope(String by, long id, Command command) {}
}
