/**
 * Leases with fencing tokens on the roles that one member of the cluster holds at a time, and what their holders decide:
 * maintenance of caches, quota, and failover of sites. {@link pewtercourse.lease.ClusterState} is the replicated state
 * machine, {@link pewtercourse.lease.LeaseManager} one member's part in it. A pure core: no sockets, no clock.
 */
package pewtercourse.lease;
