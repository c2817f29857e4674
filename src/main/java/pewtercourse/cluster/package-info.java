/** A director as a member of a cluster: between sockets, disk and clock on one side, agreement and duties on the other. */
package pewtercourse.cluster;
