/**
 * Gossip between the directors of a site: short datagrams, which may come late or never. What they say is decided by
 * {@code pewtercourse.decision}; this package only sends and receives them.
 */
package pewtercourse.gossip;
