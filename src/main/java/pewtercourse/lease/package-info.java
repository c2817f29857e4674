/**
 * Leases with fencing tokens. Each lease stands for a role that one member of the cluster holds at a time. The holders
 * decide on the maintenance of caches, on quota, and on the failover of sites. {@link pewtercourse.lease.ClusterState}
 * is the replicated state machine, and {@link pewtercourse.lease.LeaseManager} is one member's part in it. The package
 * uses no sockets and no clock.
 */
package pewtercourse.lease;
