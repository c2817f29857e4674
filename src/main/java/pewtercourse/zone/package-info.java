/** Accounting and budget of traffic that crosses zones. Pure: no sockets, no clock. Not wired in yet. */
package pewtercourse.zone;
