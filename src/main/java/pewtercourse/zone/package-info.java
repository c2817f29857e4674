/**
 * Accounts for the traffic that crosses zones and limits it to a budget. Uses no sockets and no clock. The director does not
 * use this package yet.
 */
package pewtercourse.zone;
