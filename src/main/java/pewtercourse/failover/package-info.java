/**
 * Failover of whole sites: detection of their loss, the plan of where their clients' load goes, the pace of their
 * recovery, and the choice of a site for each request. Pure: no sockets, no clock, no threads; every class belongs to
 * one thread, times are passed in as microseconds of a monotonic clock.
 *
 * <p>The way of a loss: each director's {@link pewtercourse.failover.SiteObserver} sums up what it sees of the sites.
 * Every member of the cluster feeds these {@link pewtercourse.failover.SiteObservation}s to its
 * {@link pewtercourse.failover.FailoverController}; the one that holds the lease proposes
 * {@link pewtercourse.failover.SiteStatusChange}s and {@link pewtercourse.failover.FailoverPlan}s. Once agreed they are
 * applied to each member's {@link pewtercourse.failover.FailoverState}, which every director's
 * {@link pewtercourse.failover.OverflowRouter} follows.
 *
 * <p>Load and capacity are counted in concurrent transfers: how many responses are being sent on average.
 */
package pewtercourse.failover;
