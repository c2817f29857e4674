/**
 * Runs a director as a member of a cluster. This package connects sockets, storage and clock with the pure cores for
 * consensus, leases and failover. {@link pewtercourse.cluster.ClusterMember} is the entry point;
 * {@link pewtercourse.cluster.ClusterHost} is the interface that the director implements.
 */
package pewtercourse.cluster;
