/** Messages of the cluster over TCP: framing, bounded queues and reconnects with jitter. */
package pewtercourse.raft.net;
