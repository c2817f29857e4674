/** Short messages between directors of a site. */
package pewtercourse.gossip;
