/**
 * Tells what the event loop knows of the time before it reads: when it last polled its sockets, since when a socket has been
 * empty, and what has arrived and is not read yet.
 */
package pewtercourse.eventloop;
