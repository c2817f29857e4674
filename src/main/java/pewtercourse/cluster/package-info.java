/**
 * A director as a member of a cluster: between sockets, storage and clock on the one side, and the pure cores for
 * consensus, leases and failover on the other. {@link pewtercourse.cluster.ClusterMember} is the way in;
 * {@link pewtercourse.cluster.ClusterHost} is what the director around it provides.
 */
package pewtercourse.cluster;
