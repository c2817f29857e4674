/**
 * Failover of complete sites: detects their loss, plans which sites take over their clients' load, paces their
 * recovery, and chooses a site for each request. The package uses no sockets, clocks or threads. Each object is
 * confined to one thread, and callers pass times in microseconds of a monotonic clock.
 *
 * <p>A loss is handled as follows. Each director's {@link pewtercourse.failover.SiteObserver} summarizes its
 * observations of the sites. Every member of the cluster passes these {@link pewtercourse.failover.SiteObservation}s to
 * its {@link pewtercourse.failover.FailoverController}, and the controller of the lease holder proposes
 * {@link pewtercourse.failover.SiteStatusChange}s and {@link pewtercourse.failover.FailoverPlan}s. Agreed changes and
 * plans are applied to each member's {@link pewtercourse.failover.FailoverState}, which every director's
 * {@link pewtercourse.failover.OverflowRouter} follows.
 *
 * <p>Load and capacity are in concurrent transfers: the average number of responses that are being sent at once.
 */
package pewtercourse.failover;
