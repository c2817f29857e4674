/**
 * What one process of a director hands to the next in an upgrade: the listening socket, which both inherit from the
 * platform, and in a small file what operators have told the director.
 */
package pewtercourse.handover;
