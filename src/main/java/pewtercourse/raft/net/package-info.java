/**
 * Transports messages between the members of a cluster over TCP: framing, handshake, bounded send queues, and
 * reconnecting with backoff and jitter. {@link pewtercourse.raft.net.MemberTransport} is the entry point. All code runs
 * on the event loop.
 */
package pewtercourse.raft.net;
