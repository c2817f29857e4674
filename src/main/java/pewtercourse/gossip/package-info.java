/**
 * Gossip between the directors of a site: short datagrams, which may be late or lost. {@code pewtercourse.decision}
 * defines their content; this package only sends and receives them.
 */
package pewtercourse.gossip;
