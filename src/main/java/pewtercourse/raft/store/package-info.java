/** The folder of a member of the cluster: log segments with checksums, snapshots, recovery. */
package pewtercourse.raft.store;
