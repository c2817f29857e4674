/**
 * Leases with fencing tokens on roles that one member holds at a time, as a replicated state machine. Pure: no
 * sockets, no clock.
 */
package pewtercourse.lease;
