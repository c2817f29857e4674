/**
 * The loss of a whole site: its detection, the plan of where its clients go, and the pace of its return. Pure: no
 * sockets, no clock.
 */
package pewtercourse.failover;
